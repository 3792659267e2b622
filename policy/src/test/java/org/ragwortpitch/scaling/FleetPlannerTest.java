package org.ragwortpitch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.deployment.ScalingSpec;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Tests how many engines are ordered: the patterns are a first start on firm ones, and failure domains whose
 * reclaimable ones are all taken back.
 */
class FleetPlannerTest {

    private static final FailureDomain A = new FailureDomain("a");

    private static final FailureDomain B = new FailureDomain("b");

    private static final FailureDomain C = new FailureDomain("c");

    private static final ScalingSpec SPEC = new ScalingSpec(1, 8, 4_000, 0.18, Map.of(A, 1.0, B, 0.8, C, 1.25));

    private static Map<FailureDomain, DomainFleet> each(int firm, int reclaimable) {
        DomainFleet fleet = new DomainFleet(firm, reclaimable);
        return Map.of(A, fleet, B, fleet, C, fleet);
    }

    @Test
    void testFirmEnginesAreReplacedBeforeCallersCome() {
        var plan = FleetPlanner.plan(SPEC, 21, each(4, 0), Set.of(), false);
        assertEquals(Map.of(A, new DomainFleet(0, 7), B, new DomainFleet(1, 6), C, new DomainFleet(0, 7)), plan);
    }

    @Test
    void testFirmEnginesStayWhileTooFewAreThere() {
        var plan = FleetPlanner.plan(SPEC, 21, each(4, 1), Set.of(), true);
        assertEquals(new DomainFleet(4, 4), plan.get(A));
    }

    @Test
    void testFirmEnginesStandInWhereNoneAreToBeHad() {
        Map<FailureDomain, DomainFleet> now = new HashMap<>(each(0, 0));
        now.put(B, new DomainFleet(1, 6));
        var plan = FleetPlanner.plan(SPEC, 21, now, Set.of(A, C), true);
        assertEquals(new DomainFleet(1, 7), plan.get(B));
        assertEquals(new DomainFleet(8, 1), plan.get(A), "one is asked for to learn when there are some again");
        assertEquals(5, plan.get(C).firm());
    }

    @Test
    void testStandInsGoAsReclaimableOnesComeBack() {
        Map<FailureDomain, DomainFleet> now = new HashMap<>(each(8, 0));
        now.put(B, new DomainFleet(1, 6));
        var plan = FleetPlanner.plan(SPEC, 21, now, Set.of(), true);
        assertEquals(new DomainFleet(6, 2), plan.get(A));
        now.put(A, new DomainFleet(6, 2));
        assertEquals(
                new DomainFleet(4, 4),
                FleetPlanner.plan(SPEC, 21, now, Set.of(), true).get(A));
    }

    @Test
    void testNeedBeyondTheLimitDoesNotKeepStandIns() {
        Map<FailureDomain, DomainFleet> now = new HashMap<>(each(8, 0));
        now.put(B, new DomainFleet(1, 7));
        assertEquals(6, FleetPlanner.plan(SPEC, 40, now, Set.of(), true).get(A).firm());
    }

    @Test
    void testOtherDomainsStandInFirst() {
        var plan = FleetPlanner.plan(SPEC, 12, each(0, 4), Set.of(C), true);
        assertEquals(6, plan.get(A).reclaimable());
        assertEquals(new DomainFleet(1, 5), plan.get(B));
        assertEquals(0, plan.get(C).firm());
    }

    @Test
    void testWithoutReclaimableOnesAllAreFirm() {
        ScalingSpec firmOnly = new ScalingSpec(1, 8, 4_000, 0, SPEC.prices());
        var plan = FleetPlanner.plan(firmOnly, 9, each(3, 0), Set.of(), true);
        assertEquals(9, plan.values().stream().mapToInt(DomainFleet::firm).sum());
        assertEquals(
                0, plan.values().stream().mapToInt(DomainFleet::reclaimable).sum());
    }

    @Property(tries = 500)
    void testLimitsHold(
            @ForAll @IntRange(min = 0, max = 40) int engines,
            @ForAll @IntRange(min = 0, max = 8) int firm,
            @ForAll @IntRange(min = 0, max = 8) int reclaimable,
            @ForAll boolean serving,
            @ForAll boolean withoutA) {
        Set<FailureDomain> without = withoutA ? Set.of(A) : Set.of();
        FleetPlanner.plan(SPEC, engines, each(firm, reclaimable), without, serving)
                .forEach((domain, plan) -> {
                    int asked = without.contains(domain) ? 1 : 0;
                    assertTrue(plan.total() <= SPEC.max() + asked, domain + " " + plan);
                    assertTrue(plan.firm() >= 0 && plan.reclaimable() >= 0, domain + " " + plan);
                });
    }
}
