package org.ragwortpitch.configuration;

/**
 * The phases of inference that an endpoint runs.
 */
public enum EndpointRole {
    /**
     * Prefills prompts.
     */
    PREFILL,
    /**
     * Decodes output tokens.
     */
    DECODE,
    /**
     * Prefills and decodes.
     */
    MIXED
}
