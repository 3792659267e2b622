package org.ragwortpitch.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Tests who is suspected and who is cleared.
 */
class SuspectBookTest {

    private static final Fingerprint CAUSE = Fingerprint.of("m", "crash");

    private static final Fingerprint BYSTANDER = Fingerprint.of("m", "harmless");

    private final SuspectBook book = new SuspectBook();

    @Test
    void testCauseIsRefusedAfterTwoCrashesAndBystanderIsCleared() {
        book.crashed(CAUSE, 0);
        book.crashed(BYSTANDER, 0);
        assertEquals(Suspicion.SUSPECT, book.suspicion(BYSTANDER, 1));
        book.finished(BYSTANDER, 2);
        book.crashed(CAUSE, 3);
        assertEquals(Suspicion.NONE, book.suspicion(BYSTANDER, 4));
        assertEquals(Suspicion.REFUSED, book.suspicion(CAUSE, 4));
        book.finished(CAUSE, 5);
        assertEquals(Suspicion.REFUSED, book.suspicion(CAUSE, 6));
    }

    @Test
    void testWordOfOthersCountsOnce() {
        book.crashed(CAUSE, 0);
        book.learn(CAUSE, 1, 1);
        assertEquals(Suspicion.SUSPECT, book.suspicion(CAUSE, 2));
        book.learn(CAUSE, 2, 3);
        assertEquals(Suspicion.REFUSED, book.suspicion(CAUSE, 4));
    }

    @Test
    void testSuspicionEnds() {
        book.learn(CAUSE, 2, 0);
        assertEquals(Suspicion.REFUSED, book.suspicion(CAUSE, SuspectBook.KEPT_MILLIS - 1));
        assertEquals(Suspicion.NONE, book.suspicion(CAUSE, SuspectBook.KEPT_MILLIS));
    }
}
