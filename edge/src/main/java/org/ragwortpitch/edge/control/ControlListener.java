package org.ragwortpitch.edge.control;

import java.util.Collection;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;

/**
 * Hears of what the store holds, on the control thread.
 */
public interface ControlListener {

    /**
     * A newer version of what operators ask for.
     */
    void onDeployment(Deployment deployment);

    /**
     * The endpoints that are listed now.
     *
     * @param changedOffset the newest record that changed which can be used; -1 if there was none
     */
    void onEndpoints(Collection<Endpoint> endpoints, long changedOffset);

    /**
     * The endpoints that change their role by this daemon's orders now.
     */
    void onChanging(Collection<EndpointId> changing);

    /**
     * The other daemons that are listed now.
     */
    void onDaemons(Collection<Daemon> daemons);
}
