package org.ragwortpitch.draining;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against accepting a request that the process does not live to answer, and against refusing one that it could.
 * The shutdown is requested at 1,000 ms and the process exits at 8,400 ms.
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
    void testLateRequestIsAcceptedOnlyIfItEndsBeforeTheProcess(long nowMillis, long limitMillis, boolean accepted) {
        assertEquals(accepted, window.accepts(limitMillis, nowMillis));
    }
}
