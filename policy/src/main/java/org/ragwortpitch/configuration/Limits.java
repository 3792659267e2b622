package org.ragwortpitch.configuration;

/**
 * Limits on rules and rules files.
 */
final class Limits {

    /**
     * The highest rate per second, and the highest cost per hour in millionths of the currency unit.
     */
    static final long MAX_RATE = 1_000_000_000L;

    /**
     * The largest burst, in tokens or requests.
     */
    static final long MAX_BURST = 1_000_000_000_000L;

    static final int MAX_LINE_CHARACTERS = 2_000;

    static final int MAX_RULES = 200_000;

    /**
     * The number of errors after which the parser stops.
     */
    static final int MAX_ERRORS = 20;

    private Limits() {}
}
