package org.ragwortpitch.configuration;

/**
 * Who may use a route.
 */
public enum Access {
    /**
     * Anyone.
     */
    OPEN,
    /**
     * Holders of a client account's key.
     */
    KEYED
}
