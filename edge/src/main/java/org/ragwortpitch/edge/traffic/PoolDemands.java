package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.placement.EngineEstimate;
import org.ragwortpitch.scaling.DemandMeter;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Demand on each engine pool: the tokens to prefill and the running streams, and the overflow to other failure domains
 * that follows. Confined to the traffic thread.
 */
public final class PoolDemands {

    private final Map<PoolId, DemandMeter> meters = new HashMap<>();
    private final Map<PoolId, Long> directPeerTokens = new HashMap<>();
    private final PoolOverflows overflows = new PoolOverflows();

    /**
     * Returns the overflow of each pool.
     */
    public PoolOverflows overflows() {
        return overflows;
    }

    void recordPrefill(PoolId pool, long tokens) {
        meter(pool).addPrefillTokens(tokens);
        overflows.recordOwnDemand(pool, tokens);
    }

    /**
     * Records the total of tokens to prefill that a relay of another failure domain sent for its domain.
     *
     * @param peer        the name under which totals of that domain are counted
     * @param startMillis identifies the base of the total
     */
    void recordDomain(
            FailureDomain domain, InstanceId peer, long startMillis, PoolId pool, long tokens, long nowMillis) {
        overflows.recordDemand(domain, pool, meter(pool).updatePeerTotal(peer, startMillis, tokens), nowMillis);
    }

    /**
     * Records a direct peer's total of tokens to prefill, and adds it to the total of this failure domain.
     */
    void recordDirectPeer(InstanceId peer, long startMillis, PoolId pool, long tokens) {
        long addedTokens = meter(pool).updatePeerTotal(peer, startMillis, tokens);
        directPeerTokens.merge(pool, addedTokens, Long::sum);
        overflows.recordOwnDemand(pool, addedTokens);
    }

    /**
     * Passes on the tokens to prefill of this daemon and, as far as received, its direct peers, for each pool.
     */
    void forEachInDomain(BiConsumer<PoolId, Long> consumer) {
        forEachOwn((pool, tokens) -> consumer.accept(pool, tokens + directPeerTokens.getOrDefault(pool, 0L)));
    }

    void forEachOwn(BiConsumer<PoolId, Long> consumer) {
        meters.forEach((pool, meter) -> consumer.accept(pool, meter.ownTokens()));
    }

    /**
     * Takes a sample of the demand of all daemons, by pool.
     */
    public Map<PoolId, PoolDemand> sample(EndpointTable endpoints, long nowMillis) {
        Map<PoolId, PoolDemand> demands = new HashMap<>();
        meters.forEach((pool, meter) -> {
            int streams = endpoints.all().stream()
                    .filter(state -> state.endpoint().pool().equals(pool)
                            && state.endpoint().role() == EndpointRole.DECODE
                            && state.engine() != null)
                    .mapToInt(state -> state.engine().totalRunning())
                    .sum();
            double engineTokensPerMilli =
                    EngineEstimate.throughputTokensPerMilli(endpoints.speeds().speed(pool));
            demands.put(pool, new PoolDemand(meter.sample(nowMillis), streams, engineTokensPerMilli));
        });
        return demands;
    }

    private DemandMeter meter(PoolId pool) {
        return meters.computeIfAbsent(pool, id -> new DemandMeter());
    }
}
