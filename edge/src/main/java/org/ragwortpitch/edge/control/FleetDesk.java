package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpitch.contract.DutyForm;
import org.ragwortpitch.contract.HttpCall;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.DomainFleet;
import org.ragwortpitch.scaling.EngineCount;
import org.ragwortpitch.scaling.EngineNeed;
import org.ragwortpitch.scaling.FleetPlanner;
import org.ragwortpitch.scaling.PoolDemand;

/**
 * The holder's part of fleets: orders as many endpoints as the plan says. Confined to the control thread.
 */
final class FleetDesk {

    private static final Logger LOGGER = System.getLogger(FleetDesk.class.getName());

    /** An order is repeated if its endpoints haven't come this long after their time to boot, in milliseconds. */
    private static final long LATE_MILLIS = 2_500;

    /** Readers for each engine that operators have running at first: prompts are read anew while caches are cold. */
    private static final double FIRST_READERS_SHARE = 1.4;

    /** Of so many engines at first one makes tokens, before a demand is known: a third of them do under full load. */
    private static final int ENGINES_A_FIRST_DECODER = 4;

    /** An order is repeated after this time, in milliseconds, where engines that leave take the room of new ones. */
    private static final long ROOM_MILLIS = 1_200;

    /** Where no engine was to be had, it is asked for again after this time, in milliseconds. */
    private static final long NONE_MILLIS = 3_000;

    /** Without a change for this long, in milliseconds, all engines have listed themselves: two heartbeats. */
    private static final long SETTLE_MILLIS = 2_400;

    private static final int CONFLICT = 409;

    private final PlatformCalls platform;
    private final InstanceId self;
    private final LongSupplier clockMillis;
    private final Map<Subject, Order> orders = new HashMap<>();
    private final Map<PoolId, Sighting> sightings = new HashMap<>();
    private final Map<Subject, Long> noneUntilMillis = new HashMap<>();
    private final Map<PoolId, EngineNeed> needs = new HashMap<>();

    FleetDesk(PlatformCalls platform, InstanceId self, LongSupplier clockMillis) {
        this.platform = platform;
        this.self = self;
        this.clockMillis = clockMillis;
    }

    /**
     * Orders what the plan says and isn't there.
     *
     * @return how many engines of each role the pool needs; empty while that can't be told yet
     */
    Optional<EngineCount> step(
            long fencingToken, PoolId pool, ScalingSpec spec, Collection<Endpoint> endpoints, PoolDemand demand) {
        Map<FailureDomain, DomainFleet> now = present(pool, spec, endpoints);
        long nowMillis = clockMillis.getAsLong();
        if (!needs.containsKey(pool) && !isSettled(pool, now, nowMillis)) {
            return Optional.empty();
        }
        EngineNeed need = needs.computeIfAbsent(pool, id -> new EngineNeed(firstCount(now.values())));
        EngineCount count = need.count(demand, now.size(), nowMillis);
        Set<FailureDomain> without = now.keySet().stream()
                .filter(domain -> noneUntilMillis.containsKey(new Subject(pool, domain, true)))
                .collect(Collectors.toSet());
        Set<FailureDomain> leaving = endpoints.stream()
                .filter(endpoint -> endpoint.pool().equals(pool) && endpoint.leaving())
                .map(Endpoint::domain)
                .collect(Collectors.toSet());
        FleetPlanner.plan(spec, count.total(), now, without, need.isAsked()).forEach((domain, plan) -> {
            DomainFleet there = now.get(domain);
            boolean making = plan.firm() < there.firm() || leaving.contains(domain);
            long lateMillis = making ? ROOM_MILLIS : spec.bootMillis() + LATE_MILLIS;
            order(fencingToken, new Subject(pool, domain, false), plan.firm(), there.firm(), lateMillis);
            order(fencingToken, new Subject(pool, domain, true), plan.reclaimable(), there.reclaimable(), lateMillis);
        });
        return Optional.of(count);
    }

    /**
     * Tells whether no engine has come or gone for a while: at the first start they list themselves one by one, and a
     * plan from a part of them would be too small.
     */
    private boolean isSettled(PoolId pool, Map<FailureDomain, DomainFleet> now, long nowMillis) {
        int there = now.values().stream().mapToInt(DomainFleet::total).sum();
        Sighting last = sightings.get(pool);
        if (last == null || last.count() != there) {
            sightings.put(pool, new Sighting(there, nowMillis));
            return false;
        }
        return nowMillis - last.sinceMillis() >= SETTLE_MILLIS;
    }

    private static EngineCount firstCount(Collection<DomainFleet> fleets) {
        int reclaimable = fleets.stream().mapToInt(DomainFleet::reclaimable).sum();
        int there = fleets.stream().mapToInt(DomainFleet::total).sum();
        int decoders = Math.max(fleets.size(), there / ENGINES_A_FIRST_DECODER);
        // Where reclaimable ones are, a holder before has planned already.
        int readers = reclaimable > 0 ? Math.max(1, there - decoders) : (int) Math.ceil(there * FIRST_READERS_SHARE);
        return new EngineCount(readers, decoders);
    }

    private static Map<FailureDomain, DomainFleet> present(
            PoolId pool, ScalingSpec spec, Collection<Endpoint> endpoints) {
        Map<FailureDomain, DomainFleet> now = new HashMap<>();
        // A domain whose engines were all taken back has none listed, and still can be ordered from.
        spec.prices().keySet().forEach(domain -> now.put(domain, new DomainFleet(0, 0)));
        for (Endpoint endpoint : endpoints) {
            if (endpoint.pool().equals(pool)) {
                int counted = endpoint.leaving() ? 0 : 1;
                DomainFleet one = endpoint.reclaimable() ? new DomainFleet(0, counted) : new DomainFleet(counted, 0);
                now.merge(
                        endpoint.domain(),
                        one,
                        (a, b) -> new DomainFleet(a.firm() + b.firm(), a.reclaimable() + b.reclaimable()));
            }
        }
        return now;
    }

    private void order(long fencingToken, Subject subject, int wanted, int there, long lateMillis) {
        Order last = orders.get(subject);
        long now = clockMillis.getAsLong();
        boolean same = last != null && last.count() == wanted;
        boolean none = noneUntilMillis.getOrDefault(subject, 0L) > now;
        boolean waiting = none || same && now - last.atMillis() < last.lateMillis();
        if (wanted == there && (last == null || same) || waiting) {
            return;
        }
        orders.put(subject, new Order(wanted, now, lateMillis));
        HttpCall call =
                DutyForm.scale(self, fencingToken, subject.pool(), subject.domain(), wanted, subject.reclaimable());
        platform.call(
                call,
                "order " + subject + " " + wanted + " of " + there,
                answer -> {
                    if (answer.isOk()) {
                        noneUntilMillis.remove(subject);
                    } else if (answer.status() == CONFLICT) {
                        noneUntilMillis.put(subject, clockMillis.getAsLong() + NONE_MILLIS);
                        Event.of("order-refused")
                                .with("subject", subject)
                                .with("answer", new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8))
                                .info(LOGGER);
                    }
                },
                () -> orders.remove(subject));
    }

    /**
     * How many engines there are, and since when.
     */
    private record Sighting(int count, long sinceMillis) {}

    /**
     * What orders are about.
     */
    private record Subject(PoolId pool, FailureDomain domain, boolean reclaimable) {}

    /**
     * The last order on a subject.
     *
     * @param lateMillis after which it is repeated if not enough have come, in milliseconds
     */
    private record Order(int count, long atMillis, long lateMillis) {}
}
