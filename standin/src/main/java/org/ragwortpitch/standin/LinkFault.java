package org.ragwortpitch.standin;

/**
 * What a proxied link does wrong.
 */
public enum LinkFault {
    /**
     * Nothing.
     */
    NONE,
    /**
     * Connections are closed, and new ones are closed at once.
     */
    CUT,
    /**
     * Connections stay open and carry nothing: half-open.
     */
    SILENT,
    /**
     * What the connecting side sends arrives; answers are dropped.
     */
    ANSWERS_LOST
}
