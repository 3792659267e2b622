package org.ragwortpitch.standin;

/**
 * What an engine can do wrong.
 */
public enum EngineFault {
    /**
     * Nothing.
     */
    NONE,
    /**
     * Ends an answer after half of its tokens without a finish.
     */
    TRUNCATE,
    /**
     * Sends the events of another attempt amid the answer.
     */
    CROSS,
    /**
     * Sends every token twice.
     */
    DOUBLE,
    /**
     * Breaks the connection amid the answer.
     */
    BREAK
}
