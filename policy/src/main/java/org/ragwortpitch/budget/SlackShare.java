package org.ragwortpitch.budget;

import java.util.OptionalInt;

/**
 * The part of a retry budget's fixed slack that one daemon may spend, so that the parts of all daemons add up to the
 * slack at most. A daemon that doesn't know the others gets none. Nor does one in the first window after its restart:
 * the incarnation before may have spent its part in the same window, and the others may not know a new daemon yet.
 */
public final class SlackShare {

    private final boolean firstStart;
    private final long startMillis;

    /**
     * Creates the share of a daemon that starts now.
     *
     * @param firstStart  whether the whole fleet starts for the first time, so that nothing can have been spent before
     * @param startMillis the present time, in milliseconds
     */
    public SlackShare(boolean firstStart, long startMillis) {
        this.firstStart = firstStart;
        this.startMillis = startMillis;
    }

    /**
     * Returns the share, from 0 to 1.
     *
     * @param daemons    the number of daemons in the fleet; empty if it is not known
     * @param spanMillis the length of the budget's window, in milliseconds
     */
    public double at(OptionalInt daemons, long spanMillis, long nowMillis) {
        if (daemons.isEmpty() || !firstStart && nowMillis - startMillis <= spanMillis) {
            return 0;
        }
        return 1.0 / daemons.getAsInt();
    }
}
