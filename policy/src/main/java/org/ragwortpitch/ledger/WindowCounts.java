package org.ragwortpitch.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;

/**
 * Counts the requests that each client account started, by window of the wall clock. Confined to one thread.
 */
public final class WindowCounts {

    /** How many windows before the latest one keep their totals for gossip to other daemons. */
    private static final int GOSSIPED_WINDOWS = 2;

    private final long windowMillis;
    private final TreeMap<Long, Map<AccountId, Long>> windows = new TreeMap<>();
    private final TreeMap<Long, Map<AccountId, Long>> recent = new TreeMap<>();
    private long lastDrained = Long.MIN_VALUE;

    /**
     * Creates empty counts.
     *
     * @param windowMillis the length of a window, in milliseconds
     */
    public WindowCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Counts a request.
     *
     * @param wallMillis when the request started to run, in milliseconds since the epoch
     */
    public void increment(AccountId account, long wallMillis) {
        long window = windowAt(wallMillis);
        windows.computeIfAbsent(window, number -> new HashMap<>()).merge(account, 1L, Long::sum);
        recent.computeIfAbsent(window, number -> new HashMap<>()).merge(account, 1L, Long::sum);
        recent.headMap(recent.lastKey() - GOSSIPED_WINDOWS).clear();
    }

    /**
     * Returns the number of the window that contains a time.
     *
     * @param wallMillis the time, in milliseconds since the epoch
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Returns the totals of the latest windows, including counts that were already drained. The map is a live view.
     */
    public Map<Long, Map<AccountId, Long>> recent() {
        return recent;
    }

    /**
     * Drains the counts of all windows, including the one that has not ended.
     */
    public TreeMap<Long, Map<AccountId, Long>> drainAll() {
        TreeMap<Long, Map<AccountId, Long>> all = new TreeMap<>(windows);
        windows.clear();
        return all;
    }

    /**
     * Drains the counts of all windows that ended by a time, oldest first. The last ended window is included once even
     * if it has no counts, so that readers can tell that no count is missing.
     *
     * @param wallMillis the time, in milliseconds since the epoch
     */
    public TreeMap<Long, Map<AccountId, Long>> drainEnded(long wallMillis) {
        long lastEnded = windowAt(wallMillis) - 1;
        if (lastEnded > lastDrained) {
            windows.computeIfAbsent(lastEnded, number -> new HashMap<>());
            lastDrained = lastEnded;
        }
        TreeMap<Long, Map<AccountId, Long>> ended = new TreeMap<>(windows.headMap(windowAt(wallMillis)));
        windows.headMap(windowAt(wallMillis)).clear();
        return ended;
    }
}
