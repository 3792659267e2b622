package org.ragwortpitch.overflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Tests the shares for given figures, and which requests they make leave.
 */
class OverflowControllerTest {

    private static final FailureDomain OWN = new FailureDomain("own");

    private static final FailureDomain OTHER = new FailureDomain("other");

    private static final FailureDomain THIRD = new FailureDomain("third");

    private static final int REQUESTS = 20_000;

    private static DomainLoad load(double demand, double capacity) {
        return new DomainLoad(demand, capacity, 0, false);
    }

    /** Repeats the same figures until the damped shares have settled. */
    private static DomainShares settled(OverflowController controller, Map<FailureDomain, DomainLoad> loads) {
        DomainShares shares = DomainShares.NONE;
        for (long now = 0; now <= 30_000; now += 500) {
            shares = controller.update(loads, now);
        }
        return shares;
    }

    private static DomainShares settled(Map<FailureDomain, DomainLoad> loads) {
        return settled(new OverflowController(OWN), loads);
    }

    /** Loads of the other domain with which a full domain behaves as without overflow. */
    static Stream<Arguments> unusable() {
        return Stream.of(
                Arguments.of("no figures", Optional.empty()),
                Arguments.of("no engines", Optional.of(load(10, 0))),
                Arguments.of("old figures", Optional.of(new DomainLoad(10, 100, 5_000, false))),
                Arguments.of("not a number", Optional.of(load(Double.NaN, 100))),
                Arguments.of("infinite", Optional.of(load(10, Double.POSITIVE_INFINITY))),
                Arguments.of("negative", Optional.of(load(-1, 100))));
    }

    @ParameterizedTest
    @MethodSource("unusable")
    void testNothingChangesWithoutUsableFiguresOfOthers(String name, Optional<DomainLoad> other) {
        Map<FailureDomain, DomainLoad> loads = new HashMap<>(Map.of(OWN, load(150, 100)));
        other.ifPresent(load -> loads.put(OTHER, load));
        assertEquals(DomainShares.NONE, settled(loads));
    }

    @Test
    void testNothingChangesForADomainWithoutEngines() {
        assertTrue(settled(Map.of(OWN, load(50, 0), OTHER, load(10, 100)))
                .decide(1)
                .isAny());
    }

    @Test
    void testNothingChangesWhileAllDomainsHaveRoom() {
        assertEquals(DomainShares.NONE, settled(Map.of(OWN, load(80, 100), OTHER, load(10, 100))));
    }

    @Test
    void testDomainThatItselfOverflowsGetsNothing() {
        DomainShares shares =
                settled(Map.of(OWN, load(100, 100), OTHER, new DomainLoad(75, 100, 0, true), THIRD, load(20, 100)));
        assertEquals(Set.of(THIRD), shares.targets().keySet());
        assertEquals(Set.of(OTHER), shares.avoided());
    }

    /**
     * Two domains exceed their targets of 40 by 60 each; demand of 10 without engines takes spare capacity first.
     */
    @ParameterizedTest
    @CsvSource({"20, 0.6", "70, 0.4", "130, 0.1", "160, 0"})
    void testSpareIsDividedAmongAllFullDomains(double demandOfThird, double share) {
        FailureDomain none = new FailureDomain("none");
        Map<FailureDomain, DomainLoad> loads =
                Map.of(OWN, load(100, 50), OTHER, load(100, 50), THIRD, load(demandOfThird, 200), none, load(10, 0));
        assertEquals(share, settled(loads).total(), 0.001);
    }

    @Test
    void testHysteresisKeepsADomainFullUntilItHasRoom() {
        OverflowController controller = new OverflowController(OWN);
        assertFalse(settled(controller, Map.of(OWN, load(82, 100), OTHER, load(10, 100)))
                .full());
        assertTrue(settled(controller, Map.of(OWN, load(90, 100), OTHER, load(10, 100)))
                .full());
        assertTrue(settled(controller, Map.of(OWN, load(82, 100), OTHER, load(10, 100)))
                .full());
        assertFalse(settled(controller, Map.of(OWN, load(69, 100), OTHER, load(10, 100)))
                .full());
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_500})
    void testOldFiguresSendLess(long ageMillis) {
        double fresh =
                settled(Map.of(OWN, load(120, 100), OTHER, load(10, 100))).total();
        double old = settled(Map.of(OWN, load(120, 100), OTHER, new DomainLoad(10, 100, ageMillis, false)))
                .total();
        assertTrue(old < fresh * (1 - (ageMillis - 1_500) / 4_000.0) + 0.01, old + " of " + fresh);
    }

    @Test
    void testDaemonsSelectTheSameRequestsInProportion() {
        DomainShares shares = new DomainShares(true, Map.of(OTHER, 0.2, THIRD, 0.1), Set.of());
        DomainShares later = new DomainShares(true, Map.of(THIRD, 0.1, OTHER, 0.2), Set.of());
        Map<Optional<FailureDomain>, Integer> counts = new HashMap<>();
        Random random = new Random(7);
        for (int index = 0; index < REQUESTS; index++) {
            long key = random.nextLong();
            assertEquals(shares.decide(key), later.decide(key));
            counts.merge(shares.decide(key).target(), 1, Integer::sum);
        }
        assertEquals(0.2, counts.get(Optional.of(OTHER)) / (double) REQUESTS, 0.01);
        assertEquals(0.1, counts.get(Optional.of(THIRD)) / (double) REQUESTS, 0.01);
    }
}
