package org.ragwortpitch.draining;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests what is taken by a daemon that was told to stop at 1,000 and ends at 8,400.
 */
class DrainWindowTest {

    private final DrainWindow window = new DrainWindow(1_000, 8_400);

    @ParameterizedTest
    @CsvSource({
        "1000, 8000, true",
        "4000, 8000, true",
        "4001, 8000, false",
        "4001, 4000, true",
        "7300, 1000, true",
        "7401, 1000, false",
    })
    void testLateRequestIsTakenOnlyIfItEndsBeforeTheProcess(long nowMillis, long limitMillis, boolean taken) {
        assertEquals(taken, window.takes(limitMillis, nowMillis));
    }
}
