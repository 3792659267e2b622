package org.ragwortpitch.configuration;

/**
 * Whether an endpoint is on-demand or spot capacity.
 */
public enum Supply {
    /**
     * On-demand: it runs until it is stopped.
     */
    FIRM,
    /**
     * Spot: it costs less, and the platform may reclaim it with a few seconds' notice.
     */
    CHEAP
}
