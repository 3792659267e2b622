package org.ragwortpitch.edge.traffic;

/**
 * A whole event of a stream.
 *
 * @param id    its id; -1 if it has none
 * @param bytes the event as it came, with the blank line that ends it
 */
record StreamEvent(long id, byte[] bytes) {

    static final long NO_ID = -1;
}
