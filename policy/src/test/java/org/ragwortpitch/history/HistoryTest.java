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
 * Guards against two daemons that act under one duty, and against an account that exceeds its rate and burst. Both come
 * about when pauses, clock drift, outages and lost, delayed or repeated appends let a daemon act on outdated state. The
 * broken variants are negative controls, in which each check must find a violation.
 */
class HistoryTest {

    private static final int STEPS = 700;

    private static final int BROKEN_HISTORIES = 400;

    /**
     * The tokens refilled in one millisecond, the resolution of the daemons' clocks.
     */
    private static final double TOLERANCE_TOKENS = History.RATE / 1000.0;

    @Property(tries = 10_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void testAtMostOneDaemonHoldsDuty(@ForAll long seed) {
        assertEquals(0, new History(seed, Variant.CORRECT).stepsWithTwoHolders(STEPS));
    }

    @Property(tries = 3_000, seed = "4712", shrinking = ShrinkingMode.OFF)
    void testAccountStaysWithinRateAndBurst(@ForAll long seed) {
        assertTrue(new History(seed, Variant.CORRECT).excessTokens(STEPS) <= TOLERANCE_TOKENS);
    }

    @ParameterizedTest
    @EnumSource(names = {"LEASE_FROM_READ_BACK", "EVICTION_WITHOUT_SUPERSEDED_OFFSET"})
    void testBrokenLeaseIsDetected(Variant broken) {
        long failures = LongStream.range(0, BROKEN_HISTORIES)
                .filter(seed -> new History(seed, broken).stepsWithTwoHolders(STEPS) > 0)
                .count();
        assertTrue(failures > 0);
    }

    @ParameterizedTest
    @EnumSource(names = {"OWNER_WITHOUT_ACKNOWLEDGEMENT", "LOAN_WITHOUT_RESERVATION"})
    void testBrokenQuotaIsDetected(Variant broken) {
        long failures = LongStream.range(-70_000, -68_500)
                .filter(seed -> new History(seed, broken).excessTokens(STEPS) > TOLERANCE_TOKENS)
                .count();
        assertTrue(failures > 0);
    }

    /**
     * A daemon that was evicted and joined again kept spending the quota share of its former incarnation.
     */
    @Test
    void testQuotaShareEndsWithItsIncarnation() {
        assertTrue(new History(-69_955, Variant.CORRECT).excessTokens(STEPS) <= TOLERANCE_TOKENS);
    }

    @Test
    void testHistoriesExerciseDutyAndSpending() {
        History history = new History(1, Variant.CORRECT);
        history.stepsWithTwoHolders(STEPS);
        assertTrue(history.heldSteps() > STEPS / 4);
        History spending = new History(1, Variant.CORRECT);
        spending.excessTokens(STEPS);
        assertTrue(spending.spendingCount() > STEPS / 8);
    }
}
