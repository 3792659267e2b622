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
 * Tests how many engines are planned, for a first start on on-demand engines and for failure domains whose spot engines
 * are all reclaimed.
 */
class FleetPlannerTest {

    private static final FailureDomain A = new FailureDomain("a");

    private static final FailureDomain B = new FailureDomain("b");

    private static final FailureDomain C = new FailureDomain("c");

    private static final ScalingSpec SPEC = new ScalingSpec(1, 8, 4_000, 0.18, Map.of(A, 1.0, B, 0.8, C, 1.25));

    private static Map<FailureDomain, DomainFleet> inEachDomain(int onDemand, int spot) {
        DomainFleet fleet = new DomainFleet(onDemand, spot);
        return Map.of(A, fleet, B, fleet, C, fleet);
    }

    @Test
    void testOnDemandEnginesAreReplacedBeforeDemandIsSeen() {
        var plan = FleetPlanner.plan(SPEC, 21, inEachDomain(4, 0), Set.of(), false);
        assertEquals(Map.of(A, new DomainFleet(0, 7), B, new DomainFleet(1, 6), C, new DomainFleet(0, 7)), plan);
    }

    @Test
    void testOnDemandEnginesAreRetainedWhileTooFewArePresent() {
        var plan = FleetPlanner.plan(SPEC, 21, inEachDomain(4, 1), Set.of(), true);
        assertEquals(new DomainFleet(4, 4), plan.get(A));
    }

    @Test
    void testOnDemandEnginesAreSubstitutesForUnavailableSpotEngines() {
        Map<FailureDomain, DomainFleet> present = new HashMap<>(inEachDomain(0, 0));
        present.put(B, new DomainFleet(1, 6));
        var plan = FleetPlanner.plan(SPEC, 21, present, Set.of(A, C), true);
        assertEquals(new DomainFleet(1, 7), plan.get(B));
        assertEquals(new DomainFleet(8, 1), plan.get(A), "one is ordered to detect when spot capacity is back");
        assertEquals(5, plan.get(C).onDemand());
    }

    @Test
    void testSubstitutesAreReleasedAsSpotEnginesReturn() {
        Map<FailureDomain, DomainFleet> present = new HashMap<>(inEachDomain(8, 0));
        present.put(B, new DomainFleet(1, 6));
        var plan = FleetPlanner.plan(SPEC, 21, present, Set.of(), true);
        assertEquals(new DomainFleet(6, 2), plan.get(A));
        present.put(A, new DomainFleet(6, 2));
        assertEquals(
                new DomainFleet(4, 4),
                FleetPlanner.plan(SPEC, 21, present, Set.of(), true).get(A));
    }

    @Test
    void testNeedBeyondTheLimitDoesNotRetainSubstitutes() {
        Map<FailureDomain, DomainFleet> present = new HashMap<>(inEachDomain(8, 0));
        present.put(B, new DomainFleet(1, 7));
        assertEquals(
                6, FleetPlanner.plan(SPEC, 40, present, Set.of(), true).get(A).onDemand());
    }

    @Test
    void testOtherDomainsSubstituteBeforeOnDemandEngines() {
        var plan = FleetPlanner.plan(SPEC, 12, inEachDomain(0, 4), Set.of(C), true);
        assertEquals(6, plan.get(A).spot());
        assertEquals(new DomainFleet(1, 5), plan.get(B));
        assertEquals(0, plan.get(C).onDemand());
    }

    @Test
    void testWithoutSpotPriceAllEnginesAreOnDemand() {
        ScalingSpec onDemandOnly = new ScalingSpec(1, 8, 4_000, 0, SPEC.prices());
        var plan = FleetPlanner.plan(onDemandOnly, 9, inEachDomain(3, 0), Set.of(), true);
        assertEquals(9, plan.values().stream().mapToInt(DomainFleet::onDemand).sum());
        assertEquals(0, plan.values().stream().mapToInt(DomainFleet::spot).sum());
    }

    /** Guards against engines ordered where they get no requests, and against too few in the other domains. */
    @Test
    void testShareOfAnEvacuatedDomainIsPlannedInTheOthersUntilItIsCancelled() {
        Map<FailureDomain, DomainFleet> present = new HashMap<>(inEachDomain(0, 3));
        present.put(A, new DomainFleet(0, 6));
        var evacuated = FleetPlanner.plan(SPEC, 12, present, Set.of(), Set.of(A), true);
        assertEquals(Map.of(B, new DomainFleet(1, 5), C, new DomainFleet(0, 6)), evacuated);
        present.putAll(evacuated);
        var cancelled = FleetPlanner.plan(SPEC, 12, present, Set.of(), Set.of(), true);
        assertEquals(Map.of(A, new DomainFleet(0, 4), B, new DomainFleet(1, 3), C, new DomainFleet(0, 4)), cancelled);
        assertEquals(Map.of(), FleetPlanner.plan(SPEC, 12, present, Set.of(), Set.of(A, B, C), true));
    }

    @Property(tries = 500)
    void testPlanStaysWithinLimits(
            @ForAll @IntRange(min = 0, max = 40) int engines,
            @ForAll @IntRange(min = 0, max = 8) int onDemand,
            @ForAll @IntRange(min = 0, max = 8) int spot,
            @ForAll boolean serving,
            @ForAll boolean spotUnavailableInA) {
        Set<FailureDomain> unavailable = spotUnavailableInA ? Set.of(A) : Set.of();
        FleetPlanner.plan(SPEC, engines, inEachDomain(onDemand, spot), unavailable, serving)
                .forEach((domain, plan) -> {
                    int probes = unavailable.contains(domain) ? 1 : 0;
                    assertTrue(plan.total() <= SPEC.max() + probes, domain + " " + plan);
                    assertTrue(plan.onDemand() >= 0 && plan.spot() >= 0, domain + " " + plan);
                });
    }
}
