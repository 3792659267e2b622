package org.ragwortpitch.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.PeerTotals;

/**
 * Measures what is to be read for one pool: totals of this daemon and, as they tell them, of the others. Confined to
 * one thread.
 */
public final class DemandMeter {

    /** The span over which rates are taken, in milliseconds: longer than clumps of requests, shorter than a swing. */
    private static final long SPAN_MILLIS = 2_500;

    private final PeerTotals peers = new PeerTotals();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long ownTokens;
    private long allTokens;

    /**
     * Notes tokens that this daemon has to have read.
     */
    public void read(long tokens) {
        ownTokens += tokens;
        allTokens += tokens;
    }

    /**
     * Takes over another daemon's total.
     *
     * @param bornMillis the life of the daemon that the total belongs to
     * @return what was added since its last word
     */
    public long peer(InstanceId peer, long bornMillis, long totalTokens) {
        long addedTokens = Math.max(0, peers.advance(peer, bornMillis, totalTokens));
        allTokens += addedTokens;
        return addedTokens;
    }

    /**
     * Tells this daemon's total.
     */
    public long ownTokens() {
        return ownTokens;
    }

    /**
     * Takes a sample and tells the rate of all daemons, in tokens a millisecond.
     */
    public double sample(long nowMillis) {
        samples.add(new Sample(nowMillis, allTokens));
        while (samples.size() > 2 && nowMillis - samples.peek().atMillis() > SPAN_MILLIS) {
            samples.poll();
        }
        Sample first = samples.peek();
        return nowMillis == first.atMillis()
                ? 0
                : (allTokens - first.tokens()) / (double) (nowMillis - first.atMillis());
    }

    /**
     * The total at a time.
     */
    private record Sample(long atMillis, long tokens) {}
}
