package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.overflow.DomainLoad;
import org.ragwortpitch.overflow.DomainShares;
import org.ragwortpitch.overflow.OverflowController;
import org.ragwortpitch.overflow.RequestDomains;
import org.ragwortpitch.placement.EngineEstimate;
import org.ragwortpitch.scaling.DemandMeter;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolOverflow;

/**
 * The shares of each engine pool's demand that leave this failure domain, computed a few times a second from the demand
 * and the engines of each domain. Confined to the traffic thread.
 */
public final class PoolOverflows {

    private static final Logger LOGGER = System.getLogger(PoolOverflows.class.getName());

    /** Change of the share that is logged. */
    private static final double LOGGED_CHANGE = 0.05;

    /** How long another daemon's share counts, in milliseconds: several digests of the usual interval. */
    private static final long SHARE_MILLIS = 2_500;

    private static final double PERCENT = 100;

    private final Map<PoolId, PoolState> pools = new HashMap<>();

    void recordOwnDemand(PoolId pool, long tokens) {
        pool(pool).ownDemand.addPrefillTokens(tokens);
    }

    void recordDemand(FailureDomain domain, PoolId pool, long tokens, long nowMillis) {
        DomainFigures figures = pool(pool).domain(domain);
        figures.demand.addPrefillTokens(tokens);
        // The rate is taken on receipt, so that it doesn't fall while nothing is received.
        figures.tokensPerMilli = figures.demand.sample(nowMillis);
        figures.demandMillis = nowMillis;
    }

    /**
     * Records the shares that a daemon reports for its domain. Reports that are invalid or old are ignored.
     */
    void recordShares(FailureDomain domain, Collection<PoolOverflow> reported, long nowMillis) {
        for (PoolOverflow overflow : reported) {
            boolean valid = overflow.getShare() > 0 && overflow.getShare() <= 1 && overflow.getAgeMillis() >= 0;
            if (valid && overflow.getAgeMillis() < SHARE_MILLIS) {
                pool(new PoolId(overflow.getPool())).domain(domain).overflowingUntilMillis =
                        nowMillis + SHARE_MILLIS - overflow.getAgeMillis();
            }
        }
    }

    /**
     * Returns the shares above 0, for gossip.
     */
    List<PoolOverflow> encode(long nowMillis) {
        return pools.entrySet().stream()
                .filter(pool -> pool.getValue().shares.total() > 0)
                .map(pool -> PoolOverflow.newBuilder()
                        .setPool(pool.getKey().value())
                        .setShare(Math.min(1, pool.getValue().shares.total()))
                        .setAgeMillis(Math.max(0, nowMillis - pool.getValue().updatedMillis))
                        .build())
                .toList();
    }

    /**
     * Decides which domains a request prefers. The requests of a session are decided alike, so that they find their
     * cached prefix.
     *
     * @param attemptId decides for requests without prefix blocks
     */
    RequestDomains decide(PoolId pool, Generation generation, String attemptId) {
        PoolState state = pools.get(pool);
        if (state == null) {
            return RequestDomains.ANY;
        }
        List<PrefixBlock> parts = generation.parts();
        return state.shares.decide(
                parts.isEmpty()
                        ? attemptId.hashCode()
                        : parts.get(parts.size() - 1).id());
    }

    /**
     * Computes the shares anew.
     *
     * @param own the daemon's failure domain
     */
    public void refresh(FailureDomain own, EndpointTable endpoints, long nowMillis) {
        Map<PoolId, Map<FailureDomain, Double>> capacities = capacities(endpoints);
        pools.forEach((pool, state) -> state.refresh(pool, own, capacities.getOrDefault(pool, Map.of()), nowMillis));
    }

    /**
     * Passes on each pool's shares.
     */
    public void forEach(BiConsumer<PoolId, DomainShares> consumer) {
        pools.forEach((pool, state) -> consumer.accept(pool, state.shares));
    }

    private static Map<PoolId, Map<FailureDomain, Double>> capacities(EndpointTable endpoints) {
        Map<PoolId, Map<FailureDomain, Double>> capacities = new HashMap<>();
        for (EndpointState state : endpoints.all()) {
            boolean counts = state.engine() != null
                    && state.endpoint().role() == EndpointRole.PREFILL
                    && !state.endpoint().leaving()
                    && !endpoints.evacuations().isEvacuated(state.endpoint().domain());
            if (counts) {
                capacities
                        .computeIfAbsent(state.endpoint().pool(), pool -> new HashMap<>())
                        .merge(
                                state.endpoint().domain(),
                                EngineEstimate.throughputTokensPerMilli(
                                        state.engine().speed()),
                                Double::sum);
            }
        }
        return capacities;
    }

    private PoolState pool(PoolId pool) {
        return pools.computeIfAbsent(pool, id -> new PoolState());
    }

    /**
     * What is known of one pool.
     */
    private static final class PoolState {

        private final DemandMeter ownDemand = new DemandMeter();
        private final Map<FailureDomain, DomainFigures> domains = new HashMap<>();
        private OverflowController controller;
        private DomainShares shares = DomainShares.NONE;
        private double loggedShare;
        private long updatedMillis;

        DomainFigures domain(FailureDomain domain) {
            return domains.computeIfAbsent(domain, id -> new DomainFigures());
        }

        void refresh(PoolId pool, FailureDomain own, Map<FailureDomain, Double> capacities, long nowMillis) {
            if (controller == null) {
                controller = new OverflowController(own);
            }
            Map<FailureDomain, DomainLoad> loads = new HashMap<>();
            domains.forEach((domain, figures) -> figures.load(capacities.getOrDefault(domain, 0.0), nowMillis)
                    .ifPresent(load -> loads.put(domain, load)));
            loads.put(
                    own,
                    new DomainLoad(
                            ownDemand.sample(nowMillis),
                            capacities.getOrDefault(own, 0.0),
                            0,
                            domain(own).isOverflowing(nowMillis)));
            shares = controller.update(loads, nowMillis);
            updatedMillis = nowMillis;
            log(pool);
        }

        private void log(PoolId pool) {
            double share = shares.total();
            boolean ended = share == 0 && loggedShare > 0;
            if (ended || Math.abs(share - loggedShare) >= LOGGED_CHANGE) {
                loggedShare = share;
                Event.of("overflow")
                        .with("pool", pool)
                        .with("percent", Math.round(share * PERCENT))
                        .with("targets", shares.targets().keySet())
                        .with("full", shares.avoided())
                        .info(LOGGER);
            }
        }
    }

    /**
     * What is known of one pool's demand from the daemons of one domain.
     */
    private static final class DomainFigures {

        private final DemandMeter demand = new DemandMeter();
        private double tokensPerMilli;
        private long demandMillis = Long.MIN_VALUE;
        private long overflowingUntilMillis = Long.MIN_VALUE;

        boolean isOverflowing(long nowMillis) {
            return nowMillis < overflowingUntilMillis;
        }

        Optional<DomainLoad> load(double capacity, long nowMillis) {
            return demandMillis == Long.MIN_VALUE
                    ? Optional.empty()
                    : Optional.of(new DomainLoad(
                            tokensPerMilli, capacity, nowMillis - demandMillis, isOverflowing(nowMillis)));
        }
    }
}
