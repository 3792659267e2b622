package org.ragwortpitch.ledger;

import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.identity.InstanceId;

/**
 * Running totals gossiped by other daemons. Each message carries the total since the daemon's start, so a lost message
 * delays an increment but loses nothing. Confined to one thread.
 */
public final class PeerTotals {

    private final Map<InstanceId, Total> totals = new HashMap<>();

    /**
     * Replaces a daemon's total and returns the increment.
     *
     * @param incarnation the daemon's incarnation; messages of an earlier one must not arrive after those of a later
     *                    one
     * @return the increment since the previous message of the same incarnation; 0 for its first message, which does not
     *         say when its total accrued
     */
    public long advance(InstanceId peer, long incarnation, long total) {
        Total previous = totals.put(peer, new Total(incarnation, total));
        return previous != null && previous.incarnation() == incarnation ? total - previous.amount() : 0;
    }

    private record Total(long incarnation, long amount) {}
}
