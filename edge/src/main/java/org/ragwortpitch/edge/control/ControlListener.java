package org.ragwortpitch.edge.control;

import java.util.Collection;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;

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
     */
    void onEndpoints(Collection<Endpoint> endpoints);

    /**
     * The other daemons that are listed now.
     */
    void onDaemons(Collection<Daemon> daemons);
}
