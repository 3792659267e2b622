package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.edge.control.Control;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.traffic.EndpointTable;
import org.ragwortpitch.edge.traffic.GossipContext;
import org.ragwortpitch.edge.traffic.Gossiper;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Reports to the control thread what the traffic thread sees.
 *
 * @param context     what the traffic thread knows
 * @param cutOffAlone whether this daemon reaches no endpoint while another daemon does
 * @param storeReader whether this daemon reads the store closely on behalf of all
 */
record TrafficReports(
        EventLoop controlLoop,
        Control control,
        GossipContext context,
        Gossiper gossiper,
        EdgeMetrics metrics,
        BooleanSupplier cutOffAlone,
        BooleanSupplier storeReader) {

    /**
     * Reports the present state. Called periodically on the traffic thread.
     */
    void publish() {
        long now = context.clockMillis().getAsLong();
        EndpointTable table = context.endpoints();
        table.refreshSpeeds(now);
        context.demands().overflows().refresh(context.self().domain(), table, now);
        context.demands().overflows().forEach(metrics::setOverflow);
        Map<PoolId, PoolDemand> sample = context.demands().sample(table, now);
        Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> peerCounts = gossiper.receivedCounts();
        Set<EndpointIncarnation> saidToLeave = table.saidToLeave();
        Set<EndpointId> resting = table.resting(now);
        Evacuations evacuations = table.evacuations();
        boolean readsStore = storeReader.getAsBoolean();
        boolean suspendDuties = !readsStore || cutOffAlone.getAsBoolean();
        controlLoop.execute(() -> {
            control.updateSaidToLeave(saidToLeave);
            control.updateResting(resting);
            control.learnEvacuations(evacuations);
            control.updatePoolDemands(sample);
            control.updatePeerCounts(peerCounts);
            control.suspendDuties(suspendDuties);
            control.readStoreClosely(readsStore);
        });
    }
}
