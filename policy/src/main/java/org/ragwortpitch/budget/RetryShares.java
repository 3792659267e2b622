package org.ragwortpitch.budget;

import java.util.OptionalInt;

/**
 * Determines the part of a retry budget that one daemon may spend, so that all daemons together keep to the budget
 * although none knows what the others spend. An incarnation doesn't know either what the one before it spent in the
 * same window, so each uses half of the ratio, and none of the slack in the first window after a restart.
 */
public final class RetryShares {

    /** The part of the budget that an incarnation uses; what the one before it used adds to that for one window. */
    private static final double USED_SHARE = 0.5;

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
        boolean restarted = !firstStart && nowMillis - startMillis <= spanMillis;
        boolean hasSlack = daemons.isPresent() && !restarted;
        return new RetryShare(USED_SHARE, hasSlack ? USED_SHARE / daemons.getAsInt() : 0);
    }
}
