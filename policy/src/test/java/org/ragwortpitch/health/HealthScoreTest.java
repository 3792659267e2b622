package org.ragwortpitch.health;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests when endpoints are ejected and used again.
 */
class HealthScoreTest {

    private final HealthScore score = new HealthScore();

    @Test
    void testSingleErrorsDoNotEject() {
        for (int index = 0; index < 100; index++) {
            if (index % 4 == 0) {
                score.failed(false, index);
            } else {
                score.succeeded();
            }
            assertTrue(score.isUsable(index));
        }
    }

    @Test
    void testRepeatedFailuresEject() {
        for (int index = 0; index < 3; index++) {
            score.failed(false, 0);
        }
        assertFalse(score.isUsable(0));
    }

    @Test
    void testBackoffDoublesAndIsFollowedByOneProbeAtATime() {
        score.failed(true, 0);
        assertFalse(score.isUsable(499));
        assertTrue(score.isUsable(500));
        score.sent(500);
        assertFalse(score.isUsable(501), "one probe is in flight");
        score.failed(true, 600);
        assertFalse(score.isUsable(1_599));
        assertTrue(score.isUsable(1_600));
    }

    @Test
    void testSuccessEndsTheBackoff() {
        score.failed(true, 0);
        score.succeeded();
        assertTrue(score.isUsable(0));
    }

    @Test
    void testRefusalOnlyPauses() {
        score.refused(600, 0);
        assertFalse(score.isUsable(599));
        assertTrue(score.isUsable(600));
    }
}
