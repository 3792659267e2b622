package org.ragwortpitch.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpitch.identity.AccountId;

/**
 * What other daemons have told of their counts, so that those of a daemon that dies, or can't reach the store, are not
 * lost. Confined to one thread.
 */
public final class PeerCounts {

    /** Windows that are kept: a window is frozen within two after its own. */
    private static final int KEPT_WINDOWS = 5;

    private final TreeMap<Long, Map<Life, Map<AccountId, Long>>> windows = new TreeMap<>();

    /**
     * Takes a count over; counts of a life and window only rise.
     */
    public void told(Life life, long window, AccountId account, long count) {
        windows.computeIfAbsent(window, number -> new HashMap<>())
                .computeIfAbsent(life, key -> new HashMap<>())
                .merge(account, count, Math::max);
        windows.headMap(windows.lastKey() - KEPT_WINDOWS).clear();
    }

    /**
     * Copies what is known.
     */
    public Map<Long, Map<Life, Map<AccountId, Long>>> copy() {
        Map<Long, Map<Life, Map<AccountId, Long>>> copy = new HashMap<>();
        windows.forEach((window, lives) -> {
            Map<Life, Map<AccountId, Long>> counts = new HashMap<>();
            lives.forEach((life, accounts) -> counts.put(life, Map.copyOf(accounts)));
            copy.put(window, counts);
        });
        return copy;
    }
}
