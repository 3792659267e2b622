package org.ragwortpitch.budget;

import java.util.OptionalInt;

/**
 * Determines the part of a retry budget that one daemon may spend, so that all daemons together keep to the budget
 * although none knows what the others spend. An incarnation doesn't know what the one before it spent, so in the first
 * window after a restart it leaves the predecessor's part untouched.
 */
public final class RetryShares {

    /** The part of the budget that daemons use in the long run. */
    private static final double USED_SHARE = 0.8;

    /** The part that a restarted daemon uses in its first window: what its predecessor left. */
    private static final double RESTARTED_SHARE = 0.2;

    private final boolean firstStart;
    private final long startMillis;

    /**
     * Creates the shares of a daemon that starts now.
     *
     * @param firstStart  whether the whole fleet starts for the first time, so that nothing can have been spent before
     * @param startMillis the present time, in milliseconds
     */
    public RetryShares(boolean firstStart, long startMillis) {
        this.firstStart = firstStart;
        this.startMillis = startMillis;
    }

    /**
     * Returns the present share.
     *
     * @param daemons    the number of daemons in the fleet; empty if it is not known
     * @param spanMillis the length of the budget's window, in milliseconds
     */
    public RetryShare at(OptionalInt daemons, long spanMillis, long nowMillis) {
        if (!firstStart && nowMillis - startMillis <= spanMillis) {
            return new RetryShare(RESTARTED_SHARE, 0);
        }
        return new RetryShare(USED_SHARE, daemons.isPresent() ? USED_SHARE / daemons.getAsInt() : 0);
    }
}
