package org.ragwortpitch.configuration;

/**
 * Whether a call may run more than once.
 */
public enum Repetition {
    /**
     * It may be retried.
     */
    IDEMPOTENT,
    /**
     * It never runs twice.
     */
    AT_MOST_ONCE
}
