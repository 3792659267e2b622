package org.ragwortpitch.poison;

/**
 * What is known of the end of an endpoint. Of two reports, the later constant holds.
 */
public enum CrashStanding {
    /** Connections broke, and nothing speaks against a crash. */
    REPORTED,
    /** The endpoint has responded since, or the daemon lost its paths to the whole pool: only connections broke. */
    REFUTED,
    /** The endpoint is not listed any more, or has started again: it has ended, whatever refuted that before. */
    CONFIRMED
}
