package org.ragwortpitch.deployment;

/**
 * Size limits and timeouts of callers' connections.
 *
 * @param maxHeaderBytes      the maximum size of the request line and headers, in bytes
 * @param maxBodyBytes        the maximum size of a body, in bytes
 * @param headerTimeoutMillis how long the request line and headers may take to arrive, in milliseconds
 * @param idleTimeoutMillis   how long a connection may be idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

    /**
     * Applies until a configuration is loaded; the values are common defaults of HTTP servers.
     */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
