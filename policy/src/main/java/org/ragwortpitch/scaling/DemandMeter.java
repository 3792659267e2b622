package org.ragwortpitch.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.ledger.PeerTotals;

/**
 * Measures the prefill demand of one pool as a rate, from the running total of this daemon and the totals that other
 * daemons report. Confined to one thread.
 */
public final class DemandMeter {

    /** Window of the rate, in milliseconds: longer than a burst of requests, shorter than a swing of the demand. */
    private static final long WINDOW_MILLIS = 2_500;

    private final PeerTotals peers = new PeerTotals();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long ownTokens;
    private long allTokens;

    /**
     * Adds prompt tokens that a request of this daemon needs prefilled.
     */
    public void addPrefillTokens(long tokens) {
        ownTokens += tokens;
        allTokens += tokens;
    }

    /**
     * Updates another daemon's total; a total lower than the previous one adds nothing.
     *
     * @param startMillis the start time of the daemon's incarnation that the total belongs to
     * @return the tokens added since the daemon's previous report
     */
    public long updatePeerTotal(InstanceId peer, long startMillis, long totalTokens) {
        long addedTokens = Math.max(0, peers.advance(peer, startMillis, totalTokens));
        allTokens += addedTokens;
        return addedTokens;
    }

    /**
     * Returns this daemon's total since its start.
     */
    public long ownTokens() {
        return ownTokens;
    }

    /**
     * Takes a sample and returns the rate over all daemons, in tokens per millisecond; 0 at the first sample.
     */
    public double sample(long nowMillis) {
        samples.add(new Sample(nowMillis, allTokens));
        while (samples.size() > 2 && nowMillis - samples.peek().atMillis() > WINDOW_MILLIS) {
            samples.poll();
        }
        Sample oldest = samples.peek();
        return nowMillis == oldest.atMillis()
                ? 0
                : (allTokens - oldest.tokens()) / (double) (nowMillis - oldest.atMillis());
    }

    /**
     * The total of all daemons at a point in time.
     */
    private record Sample(long atMillis, long tokens) {}
}
