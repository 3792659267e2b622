package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.ragwortpitch.contract.DutyForm;
import org.ragwortpitch.contract.HttpCall;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.scaling.DomainFleet;
import org.ragwortpitch.scaling.FleetPlanner;

/**
 * The holder's part of fleets: orders as many endpoints as the plan says. Confined to the control thread.
 */
final class FleetDesk {

    private static final Logger LOGGER = System.getLogger(FleetDesk.class.getName());

    /** An order is repeated if its endpoints haven't come this long after their time to boot, in milliseconds. */
    private static final long LATE_MILLIS = 2_500;

    /** Readers for each engine that operators have running at first: prompts are read anew while caches are cold. */
    private static final double FIRST_READERS_SHARE = 1.4;

    private static final int CONFLICT = 409;

    private final PlatformCalls platform;
    private final InstanceId self;
    private final LongSupplier clockMillis;
    private final Map<Subject, Order> orders = new HashMap<>();
    private final Map<PoolId, Integer> needed = new HashMap<>();

    FleetDesk(PlatformCalls platform, InstanceId self, LongSupplier clockMillis) {
        this.platform = platform;
        this.self = self;
        this.clockMillis = clockMillis;
    }

    /**
     * Orders what the plan says and isn't there.
     */
    void step(long fencingToken, Deployment deployment, Collection<Endpoint> endpoints) {
        for (Pool pool : deployment.pools()) {
            pool.scaling().ifPresent(spec -> step(fencingToken, pool, spec, endpoints));
        }
    }

    private void step(long fencingToken, Pool pool, ScalingSpec spec, Collection<Endpoint> endpoints) {
        Map<FailureDomain, DomainFleet> now = present(pool.id(), endpoints);
        if (now.isEmpty()) {
            return;
        }
        int load = needed.computeIfAbsent(
                pool.id(), id -> firstReaders(now.values().stream().mapToInt(DomainFleet::total).sum()));
        FleetPlanner.plan(spec, load, now).forEach((domain, plan) -> {
            DomainFleet there = now.get(domain);
            order(fencingToken, new Subject(pool.id(), domain, true), plan.reclaimable(), there.reclaimable(), spec);
            order(fencingToken, new Subject(pool.id(), domain, false), plan.firm(), there.firm(), spec);
        });
    }

    private static int firstReaders(int there) {
        return Math.max(1, (int) Math.ceil(there * FIRST_READERS_SHARE));
    }

    private static Map<FailureDomain, DomainFleet> present(PoolId pool, Collection<Endpoint> endpoints) {
        Map<FailureDomain, DomainFleet> now = new HashMap<>();
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

    private void order(long fencingToken, Subject subject, int wanted, int there, ScalingSpec spec) {
        Order last = orders.get(subject);
        long now = clockMillis.getAsLong();
        boolean same = last != null && last.count() == wanted;
        boolean waiting = same && now - last.atMillis() < spec.bootMillis() + LATE_MILLIS;
        if (wanted == there && (last == null || same) || waiting) {
            return;
        }
        orders.put(subject, new Order(wanted, now));
        HttpCall call = DutyForm.scale(
                self, fencingToken, subject.pool(), subject.domain(), wanted, subject.reclaimable());
        platform.call(
                call,
                "order " + subject + " " + wanted + " of " + there,
                answer -> {
                    if (answer.status() == CONFLICT) {
                        Event.of("order-refused")
                                .with("subject", subject)
                                .with("answer", new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8))
                                .info(LOGGER);
                    }
                },
                () -> orders.remove(subject));
    }

    /**
     * Tells the endpoints that a pool is taken to need.
     */
    Optional<Integer> needed(PoolId pool) {
        return Optional.ofNullable(needed.get(pool));
    }

    /**
     * What orders are about.
     */
    private record Subject(PoolId pool, FailureDomain domain, boolean reclaimable) {}

    /**
     * The last order on a subject.
     */
    private record Order(int count, long atMillis) {}
}
