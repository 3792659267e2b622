package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against events that are lost, merged or altered when the network splits a stream at any byte.
 */
class EventSplitterTest {

    private static final String STREAM = "id: 1\ndata: a\n\nx-ragwortpitch-weight-versions: 2\nid: 2\ndata: b\r\n\r\n"
            + "data: no id\n\nid: 12\ndata: {\"t\":\"c\"}\n\n";

    private static List<StreamEvent> feed(EventSplitter splitter, String text) {
        return splitter.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void testEventIdsAreParsed() {
        List<Long> ids =
                feed(new EventSplitter(), STREAM).stream().map(StreamEvent::id).toList();
        assertEquals(List.of(1L, 2L, StreamEvent.NO_ID, 12L), ids);
    }

    @Test
    void testIncompleteEventIsHeldBack() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(1, feed(splitter, "id: 1\n\nid: 2\nda").size());
        assertEquals("id: 2\nda", new String(splitter.rest(), StandardCharsets.UTF_8));
    }

    @Property(tries = 500)
    void testAnySplitYieldsTheSameBytes(@ForAll @IntRange(min = 1, max = 40) int size) {
        EventSplitter splitter = new EventSplitter();
        List<StreamEvent> events = new ArrayList<>();
        for (int at = 0; at < STREAM.length(); at += size) {
            events.addAll(feed(splitter, STREAM.substring(at, Math.min(STREAM.length(), at + size))));
        }
        StringBuilder joined = new StringBuilder();
        events.forEach(event -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));
        assertEquals(STREAM, joined.toString());
        assertEquals(4, events.size());
        assertEquals(0, splitter.rest().length);
    }
}
