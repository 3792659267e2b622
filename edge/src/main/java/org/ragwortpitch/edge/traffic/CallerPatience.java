package org.ragwortpitch.edge.traffic;

import org.ragwortpitch.deployment.Route;

/**
 * How long callers wait for the next event of a stream before they disconnect.
 *
 * @param millis the wait of the callers, in milliseconds
 */
record CallerPatience(long millis) {

    /** Callers disconnect from a stream without events after this multiple of its target, but not before 2 s. */
    private static final int PATIENCE_TARGETS = 4;

    private static final long MIN_PATIENCE_MILLIS = 2_000;

    /** An engine counts as stalled after this part of the callers' patience, which leaves time to retry. */
    private static final double STALL_PATIENCE_RATIO = 0.6;

    static CallerPatience of(Route route) {
        return new CallerPatience(Math.max(MIN_PATIENCE_MILLIS, (long) PATIENCE_TARGETS * route.targetMillis()));
    }

    /**
     * Returns the time without data after which an engine counts as stalled, in milliseconds.
     */
    long stallMillis() {
        return (long) (STALL_PATIENCE_RATIO * millis);
    }
}
