package org.ragwortpitch.edge.traffic;

/**
 * A complete server-sent event.
 *
 * @param id    its id; {@link #NO_ID} if it has none or one that is not a number
 * @param bytes the event as received, including the blank line that ends it
 */
record StreamEvent(long id, byte[] bytes) {

    static final long NO_ID = -1;
}
