package org.ragwortpitch.configuration;

/**
 * Which part of the work an endpoint does.
 */
public enum EndpointRole {
    /**
     * Reads prompts.
     */
    PREFILL,
    /**
     * Generates tokens.
     */
    DECODE,
    /**
     * Does both.
     */
    MIXED
}
