package org.ragwortpitch.draining;

/**
 * The period in which a daemon that is shutting down still accepts requests.
 *
 * @param startMillis when the shutdown was requested
 * @param endMillis   when the process exits, even if requests are still running
 */
public record DrainWindow(long startMillis, long endMillis) {

    /**
     * How long every request is accepted, in milliseconds. Callers cache an address for some seconds, and the
     * platform's owners accept that requests received in this time may run longer than the process.
     */
    static final long ACCEPT_ALL_MILLIS = 3_000;

    /**
     * Returns whether a request that arrives now is accepted: either its time limit ends before the process exits, or
     * the shutdown has only just begun.
     *
     * @param limitMillis the longest that the request may take, in milliseconds
     */
    public boolean accepts(long limitMillis, long nowMillis) {
        return nowMillis - startMillis <= ACCEPT_ALL_MILLIS || nowMillis + limitMillis <= endMillis;
    }
}
