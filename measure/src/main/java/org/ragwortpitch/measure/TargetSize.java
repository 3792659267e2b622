package org.ragwortpitch.measure;

/**
 * The deployment size to design for, expected in two years.
 */
final class TargetSize {

    static final double DAEMONS = 1_400;

    static final double CELL_DAEMONS = 40;

    static final double CELLS = DAEMONS / CELL_DAEMONS;

    static final double ENDPOINTS = 10_000;

    /**
     * Requests a second over all daemons.
     */
    static final double REQUESTS = 160_000;

    /**
     * Decoded tokens a second over all engines.
     */
    static final double TOKENS = 33_000_000;

    static final double ACCOUNTS = 14_000;

    static final double CHANGES_A_DAY = 8_800;

    /**
     * Daemons that restart, are replaced or fail a day; each leaves and joins once.
     */
    static final double REPLACED_A_DAY = 3_100;

    static final double DAY_SECONDS = 86_400;

    /**
     * Prefix blocks of 1,000 tokens that a cell tracks for each of its endpoints.
     */
    static final double PREFIX_BLOCKS_PER_ENDPOINT = 2_000;

    /**
     * Time for which a counted request is retained, in seconds.
     */
    static final double COUNTED_REQUEST_RETENTION_SECONDS = 900;

    private TargetSize() {}
}
