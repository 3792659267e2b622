package org.ragwortpitch.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The rate at which waiting requests were served lately. Confined to one thread.
 */
public final class ServiceRate {

    /** The rate covers this time, in milliseconds: a little more than a usual generation runs. */
    private static final long WINDOW_MILLIS = 4_000;

    /** Fewer requests make the rate unknown. */
    private static final int MIN_REQUESTS = 5;

    /** Shortest time that the rate covers, in milliseconds, since requests are served in bursts as gossip arrives. */
    private static final long MIN_MILLIS = 500;

    private final Deque<Served> served = new ArrayDeque<>();
    private long servedTokens;

    /**
     * Records a request that was served while requests waited.
     */
    public void record(long tokens, long nowMillis) {
        served.add(new Served(nowMillis, tokens));
        servedTokens += tokens;
        forgetOld(nowMillis);
    }

    /**
     * Returns the tokens served in a millisecond; empty if too few requests were served lately.
     */
    public OptionalDouble tokensPerMilli(long nowMillis) {
        forgetOld(nowMillis);
        if (served.size() < MIN_REQUESTS || servedTokens <= 0) {
            return OptionalDouble.empty();
        }
        long millis = Math.max(MIN_MILLIS, nowMillis - served.peek().atMillis());
        return OptionalDouble.of(servedTokens / (double) millis);
    }

    private void forgetOld(long nowMillis) {
        while (!served.isEmpty() && nowMillis - served.peek().atMillis() > WINDOW_MILLIS) {
            servedTokens -= served.remove().tokens();
        }
    }

    private record Served(long atMillis, long tokens) {}
}
