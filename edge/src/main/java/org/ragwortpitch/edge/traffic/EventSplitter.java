package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of a stream into complete events, each ended by a blank line (HTML standard, server-sent events).
 */
final class EventSplitter {

    private static final int INITIAL_BYTES = 512;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;
    private int scanned;

    /**
     * Appends received bytes.
     *
     * @return the events that the bytes complete
     */
    List<StreamEvent> feed(ByteBuf content) {
        append(content);
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (int at = scanned; at < length; at++) {
            if (pending[at] == '\n' && endsBlankLine(start, at)) {
                byte[] bytes = Arrays.copyOfRange(pending, start, at + 1);
                events.add(new StreamEvent(id(bytes), bytes));
                start = at + 1;
            }
        }
        System.arraycopy(pending, start, pending, 0, length - start);
        length -= start;
        scanned = length;
        return events;
    }

    /**
     * Returns the bytes of the last, incomplete event.
     */
    byte[] rest() {
        return Arrays.copyOf(pending, length);
    }

    /**
     * Returns the length of the last, incomplete event, in bytes.
     */
    int restBytes() {
        return length;
    }

    private void append(ByteBuf content) {
        int added = content.readableBytes();
        if (length + added > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, length + added));
        }
        content.getBytes(content.readerIndex(), pending, length, added);
        length += added;
    }

    private boolean endsBlankLine(int start, int newline) {
        int before = newline - 1;
        if (before >= start && pending[before] == '\r') {
            before--;
        }
        return before >= start && pending[before] == '\n';
    }

    private static long id(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("id:")) {
                String value = line.substring("id:".length()).trim();
                return value.matches("\\d{1,18}") ? Long.parseLong(value) : StreamEvent.NO_ID;
            }
        }
        return StreamEvent.NO_ID;
    }
}
