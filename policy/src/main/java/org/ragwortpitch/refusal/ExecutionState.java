package org.ragwortpitch.refusal;

/**
 * Whether a refused request ran on an endpoint.
 */
public enum ExecutionState {
    /**
     * No byte of it reached an endpoint.
     */
    NO,
    /**
     * It ran, or started to run.
     */
    YES,
    /**
     * It was sent, and the outcome is unknown.
     */
    UNKNOWN
}
