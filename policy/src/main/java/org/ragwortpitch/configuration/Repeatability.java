package org.ragwortpitch.configuration;

/**
 * Whether a request may run more than once.
 */
public enum Repeatability {
    /**
     * The request may be retried.
     */
    IDEMPOTENT,
    /**
     * The request never runs twice.
     */
    AT_MOST_ONCE
}
