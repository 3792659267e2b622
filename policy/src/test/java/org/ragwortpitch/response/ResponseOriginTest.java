package org.ragwortpitch.response;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a response that is taken for the answer to a request that it doesn't answer.
 */
class ResponseOriginTest {

    @ParameterizedTest
    @CsvSource({
        "a, a, true, true, PENDING_REQUEST",
        "a, a, true, false, PENDING_REQUEST",
        "a, b, true, true, OTHER_REQUEST",
        "a, b, true, false, OTHER_REQUEST",
        "a, b, false, true, OTHER_REQUEST",
        "a, '', true, true, UNKNOWN",
        "a, '', true, false, PENDING_REQUEST",
        "a, '', false, true, PENDING_REQUEST",
        "'', '', false, true, PENDING_REQUEST",
        "'', b, false, true, OTHER_REQUEST",
        "'', b, false, false, OTHER_REQUEST"
    })
    void testOriginFollowsTheAttemptId(
            String expected, String received, boolean echoed, boolean reused, ResponseOrigin origin) {
        assertEquals(origin, ResponseOrigin.of(expected, received, echoed, reused));
    }
}
