package org.ragwortpitch.standin;

/**
 * A fault in an engine's response.
 */
public enum EngineFault {
    /**
     * No fault.
     */
    NONE,
    /**
     * Ends the response after half of its tokens, without a finish event.
     */
    TRUNCATE,
    /**
     * Sends an event of another attempt in the middle of the response.
     */
    CROSS,
    /**
     * Sends every token event twice.
     */
    DOUBLE,
    /**
     * Fails the connection after half of the tokens.
     */
    BREAK
}
