package org.ragwortpitch.draining;

/**
 * The time in which a daemon that was told to stop still answers.
 *
 * @param startMillis when it was told to stop
 * @param endMillis   when its process ends, whatever is under way
 */
public record DrainWindow(long startMillis, long endMillis) {

    /**
     * For how long every request is taken, in milliseconds. Callers hold on to an address for some seconds, and the
     * platform's owners accept that what came in by then outlasts the process.
     */
    static final long TAKE_ALL_MILLIS = 3_000;

    /**
     * Tells whether a request that comes now is taken: it is certain to end before the process, or came early.
     *
     * @param limitMillis the longest that the request may take
     */
    public boolean takes(long limitMillis, long nowMillis) {
        return nowMillis - startMillis <= TAKE_ALL_MILLIS || nowMillis + limitMillis <= endMillis;
    }
}
