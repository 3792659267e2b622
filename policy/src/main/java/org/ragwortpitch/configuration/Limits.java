package org.ragwortpitch.configuration;

/**
 * Bounds on what rules may say.
 */
final class Limits {

    /**
     * The highest rate or cost.
     */
    static final long MAX_RATE = 1_000_000_000L;

    /**
     * The largest burst.
     */
    static final long MAX_BURST = 1_000_000_000_000L;

    /**
     * The longest line, in characters.
     */
    static final int MAX_LINE_CHARACTERS = 2_000;

    /**
     * The most rules in one file.
     */
    static final int MAX_RULES = 200_000;

    /**
     * The most errors told at once.
     */
    static final int MAX_ERRORS = 20;

    /**
     * Not to be made.
     */
    private Limits() {}
}
