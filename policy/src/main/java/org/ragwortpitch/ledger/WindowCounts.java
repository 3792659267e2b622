package org.ragwortpitch.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;

/**
 * Counts the requests of accounts that began to run, by window of the wall clock. Confined to one thread.
 */
public final class WindowCounts {

    /** Windows whose totals are kept to tell other daemons. */
    private static final int RECENT_WINDOWS = 2;

    private final long windowMillis;
    private final TreeMap<Long, Map<AccountId, Long>> windows = new TreeMap<>();
    private final TreeMap<Long, Map<AccountId, Long>> recent = new TreeMap<>();
    private long lastTaken = Long.MIN_VALUE;

    /**
     * Makes empty counts.
     *
     * @param windowMillis the length of a window, in milliseconds
     */
    public WindowCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Counts a request.
     *
     * @param wallMillis when it began to run, in milliseconds since 1970
     */
    public void began(AccountId account, long wallMillis) {
        long window = windowAt(wallMillis);
        windows.computeIfAbsent(window, number -> new HashMap<>()).merge(account, 1L, Long::sum);
        recent.computeIfAbsent(window, number -> new HashMap<>()).merge(account, 1L, Long::sum);
        recent.headMap(recent.lastKey() - RECENT_WINDOWS).clear();
    }

    /**
     * Tells the number of the window that holds a time.
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Tells the totals of the last windows, taken or not.
     */
    public Map<Long, Map<AccountId, Long>> recent() {
        return recent;
    }

    /**
     * Takes the counts of all windows, also of the one that hasn't ended.
     */
    public TreeMap<Long, Map<AccountId, Long>> takeAll() {
        TreeMap<Long, Map<AccountId, Long>> all = new TreeMap<>(windows);
        windows.clear();
        return all;
    }

    /**
     * Takes the counts of all windows that ended before a time, oldest first. The window that ended last is among them
     * once, also if nothing was counted in it, so that readers know that no count is missing.
     */
    public TreeMap<Long, Map<AccountId, Long>> takeEnded(long wallMillis) {
        long last = windowAt(wallMillis) - 1;
        if (last > lastTaken) {
            windows.computeIfAbsent(last, number -> new HashMap<>());
            lastTaken = last;
        }
        TreeMap<Long, Map<AccountId, Long>> ended = new TreeMap<>(windows.headMap(windowAt(wallMillis)));
        windows.headMap(windowAt(wallMillis)).clear();
        return ended;
    }
}
