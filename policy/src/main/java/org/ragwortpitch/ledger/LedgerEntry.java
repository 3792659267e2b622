package org.ragwortpitch.ledger;

import java.util.Map;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

/**
 * A record of the usage journal.
 *
 * @param window     the window's number
 * @param daemon     who wrote it; a counted entry adds what that daemon counted
 * @param bornMillis the life of the daemon that wrote it
 * @param part       tells entries of one life apart, so that one written twice counts once
 * @param frozen     whether it states the window's final figures; the first such entry of a window stands
 * @param counts     the requests of each account
 */
public record LedgerEntry(
        long window, InstanceId daemon, long bornMillis, int part, boolean frozen, Map<AccountId, Long> counts) {

    /**
     * Copies the counts.
     */
    public LedgerEntry {
        counts = Map.copyOf(counts);
    }
}
