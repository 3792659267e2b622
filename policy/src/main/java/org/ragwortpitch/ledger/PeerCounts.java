package org.ragwortpitch.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;

/**
 * Usage counts gossiped by other daemons, so that the counts of a daemon that crashes or cannot reach the store are not
 * lost. Confined to one thread.
 */
public final class PeerCounts {

    /** The number of windows retained; a window is frozen within the two windows that follow it. */
    private static final int RETAINED_WINDOWS = 5;

    private final TreeMap<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> windows = new TreeMap<>();

    /**
     * Merges a gossiped count. Counts of one incarnation and window only grow, so the largest is retained and a late or
     * repeated message has no effect.
     *
     * @param incarnation the incarnation that counted
     * @param window      the window's number
     * @param count       the incarnation's total of that window so far
     */
    public void merge(DaemonIncarnation incarnation, long window, AccountId account, long count) {
        windows.computeIfAbsent(window, number -> new HashMap<>())
                .computeIfAbsent(incarnation, key -> new HashMap<>())
                .merge(account, count, Math::max);
        windows.headMap(windows.lastKey() - RETAINED_WINDOWS).clear();
    }

    /**
     * Returns a deep copy of the retained counts, by window number, incarnation and client account.
     */
    public Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> copy() {
        Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> copy = new HashMap<>();
        windows.forEach((window, incarnations) -> {
            Map<DaemonIncarnation, Map<AccountId, Long>> counts = new HashMap<>();
            incarnations.forEach((incarnation, accounts) -> counts.put(incarnation, Map.copyOf(accounts)));
            copy.put(window, counts);
        });
        return copy;
    }
}
