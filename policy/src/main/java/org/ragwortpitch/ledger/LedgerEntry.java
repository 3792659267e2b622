package org.ragwortpitch.ledger;

import java.util.Map;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

/**
 * A record of the usage ledger: either an increment counted by one daemon, or the frozen figures of a window.
 *
 * @param window      the window's number
 * @param daemon      the instance of the daemon that wrote the entry; unless the entry is frozen, also the one that
 *                    counted the requests
 * @param startMillis when the daemon's incarnation started, in milliseconds since the epoch
 * @param part        distinguishes entries of one incarnation and window, so that a repeated entry is counted once
 * @param frozen      whether the entry states the window's final figures; the first such entry of a window is binding
 * @param counts      the number of requests of each client account
 */
public record LedgerEntry(
        long window, InstanceId daemon, long startMillis, int part, boolean frozen, Map<AccountId, Long> counts) {

    /**
     * Copies the counts.
     */
    public LedgerEntry {
        counts = Map.copyOf(counts);
    }
}
