package org.ragwortpitch.edge.control;

import java.util.Collection;
import java.util.List;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.identity.EndpointId;

/**
 * Receives changes of the store's content. Called on the control thread.
 */
public interface ControlListener {

    /**
     * Called with each newer version of the operators' configuration.
     */
    void onDeployment(Deployment deployment);

    /**
     * Called with the evacuations of failure domains after each change, before a configuration that was read with them.
     */
    void onEvacuations(Evacuations evacuations);

    /**
     * Called with all listed endpoints after each change.
     *
     * @param changedOffset offset of the newest record that changed which endpoints are usable or how; -1 if none did
     */
    void onEndpoints(Collection<Endpoint> endpoints, long changedOffset);

    /**
     * Called after each successful reading of the endpoints' list, and after {@link #onEndpoints} if it changed.
     */
    void onEndpointsRead(EndpointReading reading);

    /**
     * Called with each change of whether the store answers this daemon.
     */
    void onStoreReachable(boolean reachable);

    /**
     * Called with the endpoints that are switching roles on this daemon's orders.
     */
    void onRoleChanges(Collection<EndpointId> changing);

    /**
     * Called with all other listed daemons after each change.
     */
    void onDaemons(Collection<Daemon> daemons);

    /**
     * Called with each record of the crashes that a prefix block has caused.
     *
     * @param crashes the crashes as {@link Control#recordPoison} got them
     */
    void onPoison(byte[] crashes);

    /**
     * Called with the members of the duties' group to tell other daemons of, as they have stopped for good, after each
     * change.
     */
    void onDepartedMembers(List<String> members);
}
