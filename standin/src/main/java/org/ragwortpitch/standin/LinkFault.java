package org.ragwortpitch.standin;

/**
 * A fault of a proxied link.
 */
public enum LinkFault {
    /**
     * No fault.
     */
    NONE,
    /**
     * Open connections are closed, and new ones are closed as soon as they are accepted.
     */
    CUT,
    /**
     * Half-open: connections stay open, but bytes are dropped in both directions.
     */
    SILENT,
    /**
     * Bytes from the connecting side arrive; bytes in the other direction are dropped.
     */
    ANSWERS_LOST
}
