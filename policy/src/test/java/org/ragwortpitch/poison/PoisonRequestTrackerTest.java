package org.ragwortpitch.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Tests which requests are suspected, refused and cleared after crashes.
 */
class PoisonRequestTrackerTest {

    private static final Fingerprint POISON = Fingerprint.of("m", "crash");

    private static final Fingerprint BYSTANDER = Fingerprint.of("m", "harmless");

    private final PoisonRequestTracker tracker = new PoisonRequestTracker();

    @Test
    void testPoisonRequestIsRefusedAfterTwoCrashesAndBystanderIsCleared() {
        tracker.crashed(POISON, 0);
        tracker.crashed(BYSTANDER, 0);
        assertEquals(Suspicion.SUSPECT, tracker.suspicion(BYSTANDER, 1));
        tracker.finished(BYSTANDER, 2);
        tracker.crashed(POISON, 3);
        assertEquals(Suspicion.NONE, tracker.suspicion(BYSTANDER, 4));
        assertEquals(Suspicion.REFUSED, tracker.suspicion(POISON, 4));
        tracker.finished(POISON, 5);
        assertEquals(Suspicion.REFUSED, tracker.suspicion(POISON, 6));
    }

    @Test
    void testCrashReportedByAPeerIsCountedOnce() {
        tracker.crashed(POISON, 0);
        tracker.learn(POISON, 1, 1);
        assertEquals(Suspicion.SUSPECT, tracker.suspicion(POISON, 2));
        tracker.learn(POISON, 2, 3);
        assertEquals(Suspicion.REFUSED, tracker.suspicion(POISON, 4));
    }

    @Test
    void testSuspicionExpires() {
        tracker.learn(POISON, 2, 0);
        assertEquals(Suspicion.REFUSED, tracker.suspicion(POISON, PoisonRequestTracker.RETENTION_MILLIS - 1));
        assertEquals(Suspicion.NONE, tracker.suspicion(POISON, PoisonRequestTracker.RETENTION_MILLIS));
    }
}
