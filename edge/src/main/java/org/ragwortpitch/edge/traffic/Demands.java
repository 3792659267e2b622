package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.scaling.DemandMeter;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * What is asked of each pool of engines. Confined to the traffic thread.
 */
public final class Demands {

    private final Map<PoolId, DemandMeter> meters = new HashMap<>();
    private final Map<PoolId, Long> nearRead = new HashMap<>();

    void read(PoolId pool, long tokens) {
        meter(pool).read(tokens);
    }

    void peer(InstanceId peer, long bornMillis, PoolId pool, long tokens) {
        meter(pool).peer(peer, bornMillis, tokens);
    }

    /**
     * Takes over what a daemon of the same failure domain has had read.
     */
    void near(InstanceId peer, long bornMillis, PoolId pool, long tokens) {
        nearRead.merge(pool, meter(pool).peer(peer, bornMillis, tokens), Long::sum);
    }

    /**
     * Tells what the daemons of this failure domain have had read, as far as this daemon has heard.
     */
    void eachOfDomain(BiConsumer<PoolId, Long> consumer) {
        eachOwn((pool, tokens) -> consumer.accept(pool, tokens + nearRead.getOrDefault(pool, 0L)));
    }

    void eachOwn(BiConsumer<PoolId, Long> consumer) {
        meters.forEach((pool, meter) -> consumer.accept(pool, meter.ownTokens()));
    }

    /**
     * Tells what all daemons together are asked.
     */
    public Map<PoolId, PoolDemand> sample(Fleet fleet, long nowMillis) {
        Map<PoolId, PoolDemand> demands = new HashMap<>();
        meters.forEach((pool, meter) -> {
            int streams = fleet.all().stream()
                    .filter(state -> state.endpoint().pool().equals(pool)
                            && state.endpoint().role() == EndpointRole.DECODE
                            && state.engine() != null)
                    .mapToInt(state -> state.engine().totalRunning())
                    .sum();
            demands.put(pool, new PoolDemand(meter.sample(nowMillis), streams));
        });
        return demands;
    }

    private DemandMeter meter(PoolId pool) {
        return meters.computeIfAbsent(pool, id -> new DemandMeter());
    }
}
