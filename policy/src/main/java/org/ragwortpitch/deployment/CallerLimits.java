package org.ragwortpitch.deployment;

/**
 * What callers may send, and how slowly.
 *
 * @param maxHeaderBytes      the most bytes of a request's line and headers
 * @param maxBodyBytes        the most bytes of a body
 * @param headerTimeoutMillis how long line and headers may take, in milliseconds
 * @param idleTimeoutMillis   how long a connection may be silent, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

    /**
     * In force until a configuration is known; the figures are common defaults of HTTP servers.
     */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
