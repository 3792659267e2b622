package org.ragwortpitch.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.identity.InstanceId;

/**
 * Measures what is to be read for one pool: totals of this daemon and, as they tell them, of the others. Confined to
 * one thread.
 */
public final class DemandMeter {

    /** The span over which rates are taken, in milliseconds: longer than clumps of requests, shorter than a swing. */
    private static final long SPAN_MILLIS = 2_500;

    private final Map<InstanceId, PeerTotal> peers = new HashMap<>();
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
     */
    public void peer(InstanceId peer, long bornMillis, long totalTokens) {
        PeerTotal before = peers.put(peer, new PeerTotal(bornMillis, totalTokens));
        if (before != null && before.bornMillis() == bornMillis) {
            allTokens += Math.max(0, totalTokens - before.totalTokens());
        }
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
     * A daemon's total in one life.
     */
    private record PeerTotal(long bornMillis, long totalTokens) {}

    /**
     * The total at a time.
     */
    private record Sample(long atMillis, long tokens) {}
}
