package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.edge.control.Control;
import org.ragwortpitch.edge.traffic.EndpointTable;
import org.ragwortpitch.edge.traffic.Gossiper;
import org.ragwortpitch.edge.traffic.PoolDemands;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Reports to the control thread what the traffic thread sees.
 *
 * @param cutOffAlone whether this daemon reaches no endpoint while another daemon does
 * @param storeReader whether this daemon reads the store closely on behalf of all
 * @param clockMillis the monotonic clock, in milliseconds
 */
record TrafficReports(
        EventLoop controlLoop,
        Control control,
        EndpointTable table,
        PoolDemands demands,
        Gossiper gossiper,
        BooleanSupplier cutOffAlone,
        BooleanSupplier storeReader,
        LongSupplier clockMillis) {

    /**
     * Reports the present state. Called periodically on the traffic thread.
     */
    void publish() {
        table.refreshSpeeds(clockMillis.getAsLong());
        Map<PoolId, PoolDemand> sample = demands.sample(table, clockMillis.getAsLong());
        Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> peerCounts = gossiper.receivedCounts();
        Set<EndpointIncarnation> saidToLeave = table.saidToLeave();
        Set<EndpointId> resting = table.resting(clockMillis.getAsLong());
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
