package org.ragwortpitch.pacing;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The slots of one endpoint that this daemon has lent or borrowed, as intervals of the wall clock: after a change of
 * the rate, slots of the same number cover another time. Confined to one thread.
 */
final class SlotLoans {

    /** How long slots are kept after their end, in milliseconds, since the clock may be set back. */
    private static final long RETENTION_MILLIS = 5_000;

    private final NavigableMap<Long, Long> lentEnds = new TreeMap<>();
    private final NavigableMap<Long, Long> borrowedEnds = new TreeMap<>();

    void lend(long startMillis, long endMillis) {
        lentEnds.put(startMillis, endMillis);
    }

    void borrow(long startMillis, long endMillis) {
        borrowedEnds.put(startMillis, endMillis);
    }

    /**
     * Returns whether any part of an interval is lent.
     */
    boolean isLent(long startMillis, long endMillis) {
        return lentEnds.headMap(endMillis).values().stream().anyMatch(lentEnd -> lentEnd > startMillis);
    }

    /**
     * Returns whether exactly this slot is borrowed.
     */
    boolean isBorrowed(long startMillis, long endMillis) {
        Long borrowedEnd = borrowedEnds.get(startMillis);
        return borrowedEnd != null && borrowedEnd == endMillis;
    }

    /**
     * Forgets slots that have ended.
     */
    void prune(long wallMillis) {
        lentEnds.values().removeIf(endMillis -> endMillis < wallMillis - RETENTION_MILLIS);
        borrowedEnds.values().removeIf(endMillis -> endMillis < wallMillis - RETENTION_MILLIS);
    }
}
