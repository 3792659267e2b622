package org.ragwortpitch.dispatch;

/**
 * The ways in which an endpoint's event stream can be invalid. The lower-case names are values of the metric label
 * {@code reason}.
 */
public enum StreamFault {
    /**
     * An event belongs to another request or attempt.
     */
    CROSSED,
    /**
     * Tokens are missing.
     */
    GAP,
    /**
     * The stream ended without a finish event.
     */
    TRUNCATED,
    /**
     * An event followed the finish event.
     */
    AFTER_FINISH
}
