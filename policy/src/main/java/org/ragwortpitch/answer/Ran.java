package org.ragwortpitch.answer;

/**
 * Whether a refused request ran on an endpoint.
 */
public enum Ran {
    /**
     * No byte of it reached an endpoint.
     */
    NO,
    /**
     * It ran, or began to.
     */
    YES,
    /**
     * It was sent, and nothing tells what became of it.
     */
    UNKNOWN
}
