package org.ragwortpitch.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.InstanceId;

/**
 * Guards against a time that follows a wrong clock, of this instance or of another. The true time is the monotonic
 * clock plus 1,000,000 ms.
 */
class MedianClockTest {

    private static final long TRUE_MILLIS = 1_000_000;

    private static final InstanceId A = new InstanceId("a");

    private static final InstanceId B = new InstanceId("b");

    private static final InstanceId C = new InstanceId("c");

    private final MedianClock clock = new MedianClock(0, TRUE_MILLIS);

    @BeforeEach
    void readOtherClocks() {
        clock.recordReading(A, TRUE_MILLIS + 101, 100, TRUE_MILLIS + 100);
        clock.recordReading(B, TRUE_MILLIS + 100, 100, TRUE_MILLIS + 100);
        clock.recordReading(C, TRUE_MILLIS - 2_400, 100, TRUE_MILLIS + 100);
        clock.advance(100, TRUE_MILLIS + 100);
    }

    @Test
    void testWrongClockOfOneDaemonHasNoEffect() {
        assertEquals(0, clock.correctionMillis());
    }

    @Test
    void testOwnClockThatWasSetIsCorrectedAfterNewReadings() {
        clock.recordReading(A, TRUE_MILLIS + 300, 300, TRUE_MILLIS + 2_800);
        clock.recordReading(B, TRUE_MILLIS + 300, 300, TRUE_MILLIS + 2_800);
        clock.advance(350, TRUE_MILLIS + 2_850);
        assertEquals(-2_500, clock.correctionMillis());
    }

    @Test
    void testPauseOfTheInstanceDiscardsEarlierReadings() {
        clock.advance(200, TRUE_MILLIS + 9_200);
        assertEquals(0, clock.correctionMillis());
    }

    @Test
    void testReadingsOfUnreachableDaemonsExpire() {
        clock.recordReading(C, TRUE_MILLIS - 2_300, 200, TRUE_MILLIS + 200);
        clock.advance(5_150, TRUE_MILLIS + 5_150);
        assertEquals(-2_500, clock.correctionMillis());
    }
}
