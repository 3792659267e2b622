package org.ragwortpitch.ledger;

import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.identity.InstanceId;

/**
 * What other daemons tell as totals since their start, so that a lost message costs only time. Confined to one thread.
 */
public final class PeerTotals {

    private final Map<InstanceId, Total> totals = new HashMap<>();

    /**
     * Takes a daemon's total over.
     *
     * @param life which life of the daemon tells it; words of a former one mustn't come any more
     * @return what was added since its last word in this life; 0 for its first, which tells nothing of when it was
     */
    public long advance(InstanceId peer, long life, long total) {
        Total before = totals.put(peer, new Total(life, total));
        return before != null && before.life() == life ? total - before.amount() : 0;
    }

    /**
     * The total of one life.
     */
    private record Total(long life, long amount) {}
}
