package org.ragwortpitch.configuration;

/**
 * Who may use a route.
 */
public enum Access {
    /**
     * Anyone, without an API key.
     */
    OPEN,
    /**
     * Callers with an account's API key.
     */
    KEYED
}
