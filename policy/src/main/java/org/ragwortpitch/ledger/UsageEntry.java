package org.ragwortpitch.ledger;

import java.util.Map;
import org.ragwortpitch.identity.AccountId;

/**
 * A record of the usage journal.
 *
 * @param window the window's number
 * @param writer which life of which daemon wrote it; a counted entry adds what that life counted
 * @param part   tells entries of one writer and window apart, so that one written twice counts once
 * @param frozen whether it states the window's final figures; the first such entry of a window stands
 * @param counts the requests of each account
 */
public record UsageEntry(long window, String writer, int part, boolean frozen, Map<AccountId, Long> counts) {

    /**
     * Copies the counts.
     */
    public UsageEntry {
        counts = Map.copyOf(counts);
    }
}
