package org.ragwortpitch.measure;

/**
 * The size to design for, in two years.
 */
final class TargetSize {

    /**
     * Daemons.
     */
    static final double DAEMONS = 1_400;

    /**
     * Daemons in one cell.
     */
    static final double CELL_DAEMONS = 40;

    /**
     * Cells.
     */
    static final double CELLS = DAEMONS / CELL_DAEMONS;

    /**
     * Endpoints.
     */
    static final double ENDPOINTS = 10_000;

    /**
     * Requests a second.
     */
    static final double REQUESTS = 160_000;

    /**
     * Generated tokens a second.
     */
    static final double TOKENS = 33_000_000;

    /**
     * Client accounts.
     */
    static final double ACCOUNTS = 14_000;

    /**
     * Changes of rules a day.
     */
    static final double CHANGES_A_DAY = 8_800;

    /**
     * Daemons that restart, are replaced or fail a day, each of which joins and departs.
     */
    static final double REPLACED_A_DAY = 3_100;

    /**
     * Seconds in a day.
     */
    static final double DAY_SECONDS = 86_400;

    /**
     * Pieces of 1,000 tokens that a cell remembers of each of its endpoints.
     */
    static final double PIECES_PER_ENDPOINT = 2_000;

    /**
     * For how long a counted request is remembered, in seconds.
     */
    static final double COUNTED_SECONDS = 900;

    /**
     * Not to be made.
     */
    private TargetSize() {}
}
