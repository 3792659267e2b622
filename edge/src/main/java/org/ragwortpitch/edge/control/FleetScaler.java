package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpitch.adapter.DutyCodec;
import org.ragwortpitch.adapter.HttpCall;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.DomainFleet;
import org.ragwortpitch.scaling.EngineCount;
import org.ragwortpitch.scaling.EngineDemandEstimator;
import org.ragwortpitch.scaling.FleetPlanner;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * Duty that orders endpoints of each failure domain until the fleet matches its plan. Confined to the control thread.
 */
final class FleetScaler {

    private static final Logger LOGGER = System.getLogger(FleetScaler.class.getName());

    /** Time beyond the boot time after which an order is repeated if its endpoints are missing, in milliseconds. */
    private static final long BOOT_MARGIN_MILLIS = 2_500;

    /** Prefill engines for each engine that operators start with; caches are cold, so prompts are prefilled in full. */
    private static final double INITIAL_PREFILL_ENGINES_SHARE = 1.4;

    /** Engines per decode engine until a demand is known; under full load, a third of all engines decode. */
    private static final int ENGINES_PER_INITIAL_DECODE_ENGINE = 4;

    /** Time after which an order is repeated while leaving engines occupy the capacity of new ones, in milliseconds. */
    private static final long CAPACITY_RETRY_MILLIS = 1_200;

    /** Time after which an order is retried that was refused for lack of capacity, in milliseconds. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 3_000;

    /** Time without a change after which all engines have listed themselves, in milliseconds: two heartbeats. */
    private static final long STABLE_MILLIS = 2_400;

    private static final int CONFLICT = 409;

    private final PlatformClient platform;
    private final InstanceId self;
    private final LongSupplier clockMillis;
    private final Map<Subject, Order> orders = new HashMap<>();
    private final Map<PoolId, Observation> observations = new HashMap<>();
    private final Map<Subject, Long> unavailableUntilMillis = new HashMap<>();
    private final Map<PoolId, EngineDemandEstimator> estimators = new HashMap<>();

    FleetScaler(PlatformClient platform, InstanceId self, LongSupplier clockMillis) {
        this.platform = platform;
        this.self = self;
        this.clockMillis = clockMillis;
    }

    /**
     * Orders the endpoints of a pool that are planned but missing.
     *
     * @param evacuated failure domains for which nothing is ordered, and whose share is ordered in the others
     * @return how many engines of each role the pool needs; empty until the fleet is stable
     */
    Optional<EngineCount> step(
            long fencingToken,
            PoolId pool,
            ScalingSpec spec,
            Collection<Endpoint> endpoints,
            Set<FailureDomain> evacuated,
            PoolDemand demand) {
        Map<FailureDomain, DomainFleet> fleets = currentFleets(pool, spec, endpoints);
        long nowMillis = clockMillis.getAsLong();
        if (!estimators.containsKey(pool) && !isStable(pool, fleets, nowMillis)) {
            return Optional.empty();
        }
        EngineDemandEstimator estimator =
                estimators.computeIfAbsent(pool, id -> new EngineDemandEstimator(initialCount(fleets.values())));
        int serviceable = (int) fleets.keySet().stream()
                .filter(domain -> !evacuated.contains(domain))
                .count();
        EngineCount count = estimator.count(demand, Math.max(1, serviceable), nowMillis);
        Set<FailureDomain> unavailable = fleets.keySet().stream()
                .filter(domain -> unavailableUntilMillis.containsKey(new Subject(pool, domain, true)))
                .collect(Collectors.toSet());
        Set<FailureDomain> leaving = endpoints.stream()
                .filter(endpoint -> endpoint.pool().equals(pool) && endpoint.leaving())
                .map(Endpoint::domain)
                .collect(Collectors.toSet());
        FleetPlanner.plan(spec, count.total(), fleets, unavailable, evacuated, estimator.hasSeenDemand())
                .forEach((domain, plan) -> {
                    DomainFleet present = fleets.get(domain);
                    boolean awaitsCapacity = plan.onDemand() < present.onDemand() || leaving.contains(domain);
                    long retryMillis = awaitsCapacity ? CAPACITY_RETRY_MILLIS : spec.bootMillis() + BOOT_MARGIN_MILLIS;
                    order(
                            fencingToken,
                            new Subject(pool, domain, false),
                            plan.onDemand(),
                            present.onDemand(),
                            retryMillis);
                    order(fencingToken, new Subject(pool, domain, true), plan.spot(), present.spot(), retryMillis);
                });
        return Optional.of(count);
    }

    /**
     * Returns whether the number of engines is stable: at the first start they list themselves one by one, and a plan
     * based on some of them would be too small.
     */
    private boolean isStable(PoolId pool, Map<FailureDomain, DomainFleet> fleets, long nowMillis) {
        int present = fleets.values().stream().mapToInt(DomainFleet::total).sum();
        Observation last = observations.get(pool);
        if (last == null || last.count() != present) {
            observations.put(pool, new Observation(present, nowMillis));
            return false;
        }
        return nowMillis - last.sinceMillis() >= STABLE_MILLIS;
    }

    private static EngineCount initialCount(Collection<DomainFleet> fleets) {
        int spot = fleets.stream().mapToInt(DomainFleet::spot).sum();
        int present = fleets.stream().mapToInt(DomainFleet::total).sum();
        int decodeEngines = Math.max(fleets.size(), present / ENGINES_PER_INITIAL_DECODE_ENGINE);
        // Spot engines show that an earlier holder has already planned this fleet.
        int prefillEngines = spot > 0
                ? Math.max(1, present - decodeEngines)
                : (int) Math.ceil(present * INITIAL_PREFILL_ENGINES_SHARE);
        return new EngineCount(prefillEngines, decodeEngines);
    }

    private static Map<FailureDomain, DomainFleet> currentFleets(
            PoolId pool, ScalingSpec spec, Collection<Endpoint> endpoints) {
        Map<FailureDomain, DomainFleet> fleets = new HashMap<>();
        // A domain whose engines were all reclaimed has none listed but still accepts orders.
        spec.prices().keySet().forEach(domain -> fleets.put(domain, new DomainFleet(0, 0)));
        for (Endpoint endpoint : endpoints) {
            if (endpoint.pool().equals(pool)) {
                int counted = endpoint.leaving() ? 0 : 1;
                DomainFleet counts = endpoint.reclaimable() ? new DomainFleet(0, counted) : new DomainFleet(counted, 0);
                fleets.merge(
                        endpoint.domain(),
                        counts,
                        (a, b) -> new DomainFleet(a.onDemand() + b.onDemand(), a.spot() + b.spot()));
            }
        }
        return fleets;
    }

    private void order(long fencingToken, Subject subject, int wanted, int present, long retryMillis) {
        Order last = orders.get(subject);
        long nowMillis = clockMillis.getAsLong();
        boolean same = last != null && last.count() == wanted;
        boolean unavailable = unavailableUntilMillis.getOrDefault(subject, 0L) > nowMillis;
        boolean waiting = unavailable || same && nowMillis - last.atMillis() < last.retryMillis();
        if (wanted == present && (last == null || same) || waiting) {
            return;
        }
        orders.put(subject, new Order(wanted, nowMillis, retryMillis));
        HttpCall call =
                DutyCodec.scale(self, fencingToken, subject.pool(), subject.domain(), wanted, subject.reclaimable());
        platform.call(
                call,
                "order " + subject + " " + wanted + " of " + present,
                response -> {
                    if (response.isOk()) {
                        unavailableUntilMillis.remove(subject);
                    } else if (response.status() == CONFLICT) {
                        unavailableUntilMillis.put(subject, clockMillis.getAsLong() + UNAVAILABLE_RETRY_MILLIS);
                        Event.of("order-refused")
                                .with("subject", subject)
                                .with("answer", new String(response.body(), java.nio.charset.StandardCharsets.UTF_8))
                                .info(LOGGER);
                    }
                },
                () -> orders.remove(subject));
    }

    /**
     * The number of engines, and since when it has been unchanged.
     */
    private record Observation(int count, long sinceMillis) {}

    /**
     * The part of a fleet that an order sets the size of.
     */
    private record Subject(PoolId pool, FailureDomain domain, boolean reclaimable) {}

    /**
     * The last order for a subject.
     *
     * @param retryMillis time after which it is repeated if endpoints are still missing, in milliseconds
     */
    private record Order(int count, long atMillis, long retryMillis) {}
}
