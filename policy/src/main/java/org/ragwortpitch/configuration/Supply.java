package org.ragwortpitch.configuration;

/**
 * Whether the platform may take an endpoint back.
 */
public enum Supply {
    /**
     * It stays until it is stopped.
     */
    FIRM,
    /**
     * It costs less and may be reclaimed with a few seconds' notice.
     */
    CHEAP
}
