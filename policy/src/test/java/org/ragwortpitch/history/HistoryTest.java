package org.ragwortpitch.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Properties of random histories, and controls that show that each check fails when a rule is broken.
 */
class HistoryTest {

    private static final int STEPS = 700;

    private static final int CONTROL_HISTORIES = 400;

    /**
     * What flows in one millisecond, which is as fine as the daemons' clocks tell time.
     */
    private static final double CLOCK_TOKENS = History.RATE / 1000.0;

    @Property(tries = 10_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void neverTwoBelieversInOneDuty(@ForAll long seed) {
        assertEquals(0, new History(seed, Variant.CORRECT).stepsWithTwoBelievers(STEPS));
    }

    @Property(tries = 3_000, seed = "4712", shrinking = ShrinkingMode.OFF)
    void noAccountExceedsRateAndBurst(@ForAll long seed) {
        assertTrue(new History(seed, Variant.CORRECT).overspent(STEPS) <= CLOCK_TOKENS);
    }

    @ParameterizedTest
    @EnumSource(names = {"LEASE_FROM_READ_BACK", "GONE_WITHOUT_SUPERSEDED_OFFSET"})
    void testBrokenLeaseIsFound(Variant broken) {
        long bad = LongStream.range(0, CONTROL_HISTORIES)
                .filter(seed -> new History(seed, broken).stepsWithTwoBelievers(STEPS) > 0)
                .count();
        assertTrue(bad > 0);
    }

    @ParameterizedTest
    @EnumSource(names = {"HOME_WITHOUT_ACKNOWLEDGEMENT", "LOAN_WITHOUT_HOLD"})
    void testBrokenLimitIsFound(Variant broken) {
        long bad = LongStream.range(-70_000, -68_500)
                .filter(seed -> new History(seed, broken).overspent(STEPS) > CLOCK_TOKENS)
                .count();
        assertTrue(bad > 0);
    }

    /**
     * A daemon that was evicted and joined anew went on to spend the share of its former life.
     */
    @Test
    void testShareDoesNotOutliveItsIncarnation() {
        assertTrue(new History(-69_955, Variant.CORRECT).overspent(STEPS) <= CLOCK_TOKENS);
    }

    @Test
    void testHistoriesDoSomething() {
        History history = new History(1, Variant.CORRECT);
        history.stepsWithTwoBelievers(STEPS);
        assertTrue(history.claims() > STEPS / 4);
        History spending = new History(1, Variant.CORRECT);
        spending.overspent(STEPS);
        assertTrue(spending.spentCount() > STEPS / 8);
    }
}
