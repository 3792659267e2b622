package org.ragwortpitch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against retrying refusals that no handover explains, and against giving up while one is under way. The members
 * change at 5,000 ms.
 */
class HandoverWindowTest {

    private final HandoverWindow window = new HandoverWindow();

    @ParameterizedTest
    @CsvSource({
        "NOT_READY, 5100, 5999, true",
        "NOT_READY, 5100, 6000, false",
        "NOT_READY, 6000, 6000, false",
        "NOT_HOME, 7000, 7999, true",
        "NOT_HOME, 7000, 8000, false",
        "OVER_RATE, 5100, 5100, false",
        "GRANTED, 5100, 5100, false",
    })
    void testOnlyRefusalsDueToAHandoverAreRetried(
            AdmissionKind refusal, long firstRequestMillis, long nowMillis, boolean retried) {
        window.update(7, 5_000);
        window.update(7, 5_500);
        assertEquals(retried, window.isRetryable(refusal, firstRequestMillis, nowMillis));
    }
}
