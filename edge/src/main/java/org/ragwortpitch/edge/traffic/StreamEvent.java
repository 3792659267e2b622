package org.ragwortpitch.edge.traffic;

import java.nio.charset.StandardCharsets;

/**
 * A complete server-sent event.
 *
 * @param id    its id; {@link #NO_ID} if it has none or one that is not a number
 * @param bytes the event as received, including the blank line that ends it
 */
record StreamEvent(long id, byte[] bytes) {

    static final long NO_ID = -1;

    /**
     * Returns the id in a header; {@link #NO_ID} if the header is null or not an id.
     */
    static long parseId(String header) {
        return header != null && header.matches("\\d{1,18}") ? Long.parseLong(header) : NO_ID;
    }

    /**
     * Returns whether it has only comments, which keep a connection open and mean nothing to callers.
     */
    boolean isComment() {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .allMatch(line -> line.isEmpty() || line.startsWith(":"));
    }
}
