package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.edge.control.ControlListener;
import org.ragwortpitch.edge.control.EndpointReading;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.traffic.EndpointTable;
import org.ragwortpitch.edge.traffic.Gateway;
import org.ragwortpitch.edge.traffic.Gossiper;
import org.ragwortpitch.edge.traffic.PoisonRequests;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.identity.EndpointId;

/**
 * Applies changes of the store's content on the traffic thread.
 */
final class StoreUpdates implements ControlListener {

    private final EventLoop trafficLoop;
    private final Gateway gateway;
    private final EndpointTable table;
    private final Gossiper gossiper;
    private final PoisonRequests poison;
    private final EdgeMetrics metrics;
    private final LongSupplier clockMillis;
    private final LongSupplier medianMillis;
    private Collection<Endpoint> endpoints = List.of();
    private boolean endpointsKnown;
    private boolean storeReachable;

    StoreUpdates(
            EventLoop trafficLoop,
            Gateway gateway,
            EndpointTable table,
            Gossiper gossiper,
            PoisonRequests poison,
            EdgeMetrics metrics,
            LongSupplier clockMillis,
            LongSupplier medianMillis) {
        this.trafficLoop = trafficLoop;
        this.gateway = gateway;
        this.table = table;
        this.gossiper = gossiper;
        this.poison = poison;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
        this.medianMillis = medianMillis;
    }

    /**
     * Returns whether the endpoints' list has been read. Called on the traffic thread.
     */
    boolean endpointsKnown() {
        return endpointsKnown;
    }

    /**
     * Returns whether the store answers this daemon. Called on the traffic thread.
     */
    boolean storeReachable() {
        return storeReachable;
    }

    @Override
    public void onStoreReachable(boolean reachable) {
        trafficLoop.execute(() -> storeReachable = reachable);
    }

    @Override
    public void onDeployment(Deployment deployment) {
        trafficLoop.execute(() -> {
            gateway.apply(deployment);
            if (endpointsKnown) {
                // Before, an empty listing would make all endpoints of the first one look newly started.
                table.apply(endpoints, deployment, clockMillis.getAsLong());
            }
            metrics.setVersion(deployment.version());
        });
    }

    @Override
    public void onEvacuations(Evacuations evacuations) {
        trafficLoop.execute(() -> table.apply(evacuations, "store", clockMillis.getAsLong()));
    }

    @Override
    public void onEndpoints(Collection<Endpoint> now, long changedOffset) {
        trafficLoop.execute(() -> {
            endpoints = now;
            gossiper.endpointsChangedAt(changedOffset);
            endpointsKnown = true;
            gateway.deployment().ifPresent(deployment -> table.apply(now, deployment, clockMillis.getAsLong()));
        });
    }

    @Override
    public void onEndpointsRead(EndpointReading reading) {
        trafficLoop.execute(() -> table.recordRead(reading, clockMillis.getAsLong()));
    }

    @Override
    public void onRoleChanges(Collection<EndpointId> changing) {
        trafficLoop.execute(() -> gossiper.setChangingEndpoints(changing));
    }

    @Override
    public void onDaemons(Collection<Daemon> daemons) {
        trafficLoop.execute(() -> gossiper.apply(daemons));
    }

    @Override
    public void onPoison(byte[] crashes) {
        trafficLoop.execute(() -> poison.mergeRecord(crashes, clockMillis.getAsLong(), medianMillis.getAsLong()));
    }

    @Override
    public void onDepartedMembers(List<String> members) {
        trafficLoop.execute(() -> gossiper.setDepartedMembers(members));
    }
}
