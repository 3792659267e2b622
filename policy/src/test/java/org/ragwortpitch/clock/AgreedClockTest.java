package org.ragwortpitch.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.InstanceId;

/**
 * Tests the time that daemons agree on while single clocks are wrong. The true time is the steady one and a million.
 */
class AgreedClockTest {

    private static final long TRUE_MILLIS = 1_000_000;

    private static final InstanceId A = new InstanceId("a");

    private static final InstanceId B = new InstanceId("b");

    private static final InstanceId C = new InstanceId("c");

    private final AgreedClock clock = new AgreedClock(0, TRUE_MILLIS);

    @BeforeEach
    void hearOthers() {
        clock.heard(A, TRUE_MILLIS + 101, 100, TRUE_MILLIS + 100);
        clock.heard(B, TRUE_MILLIS + 100, 100, TRUE_MILLIS + 100);
        clock.heard(C, TRUE_MILLIS - 2_400, 100, TRUE_MILLIS + 100);
        clock.advance(100, TRUE_MILLIS + 100);
    }

    @Test
    void testWrongClockOfAnotherChangesNothing() {
        assertEquals(0, clock.correctionMillis());
    }

    @Test
    void testOwnClockThatWasSetIsCorrectedOnceOthersAreHeard() {
        clock.heard(A, TRUE_MILLIS + 300, 300, TRUE_MILLIS + 2_800);
        clock.heard(B, TRUE_MILLIS + 300, 300, TRUE_MILLIS + 2_800);
        clock.advance(350, TRUE_MILLIS + 2_850);
        assertEquals(-2_500, clock.correctionMillis());
    }

    @Test
    void testFreezeMovesTheClockWithoutOthers() {
        clock.advance(200, TRUE_MILLIS + 9_200);
        assertEquals(0, clock.correctionMillis());
    }

    @Test
    void testSilentDaemonsCountNoMore() {
        clock.heard(C, TRUE_MILLIS - 2_300, 200, TRUE_MILLIS + 200);
        clock.advance(5_150, TRUE_MILLIS + 5_150);
        assertEquals(-2_500, clock.correctionMillis());
    }
}
