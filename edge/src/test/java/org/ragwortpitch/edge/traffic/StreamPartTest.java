package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamPartTest {

    private static List<StreamEvent> events(String content) {
        return new EventSplitter().feed(Unpooled.copiedBuffer(content.replace('|', '\n'), StandardCharsets.UTF_8));
    }

    private static String text(List<StreamEvent> events) {
        return events.stream()
                .map(event -> new String(event.bytes(), StandardCharsets.UTF_8).replace('\n', '|'))
                .collect(Collectors.joining());
    }

    /** Guards against a part that joins other events, text or comments of a failure to a stream. */
    @ParameterizedTest
    @CsvSource({
        "'id: 1|a||id: 2|b||', 'id: 3|c||', 'id: 3|c||', false",
        "'id: 1|a||id: 2|b||', 'id: 1|a||id: 2|b||id: 3|c||', 'id: 3|c||', false",
        "'id: 1|a||id: 2|b||', ': wait||id: 3|c||', ': wait||id: 3|c||', false",
        "'id: 1|a||id: 2|b||', 'x-ragwortpitch-weight-versions: 2|id: 3|c||',"
                + " 'x-ragwortpitch-weight-versions: 2|id: 3|c||', false",
        "'id: 1|a||id: 2|b||', 'id: 4|d||', '', true",
        "'id: 1|a||id: 2|b||', 'id: 3|c||id: 5|e||', 'id: 3|c||', true",
        "'id: 1|a||id: 2|b||', 'id: 3|c||failed||id: 4|d||', 'id: 3|c||', true",
        "'id: 1|a||id: 2|b||', 'data: failed||', '', true",
        "'id: 1|a||id: 2|b||', 'id: x|failed||', '', true",
        "'id: 1|a||id: 4|b||', 'id: 9|c||', 'id: 9|c||', false",
        "': wait||', 'id: 1|a||', 'id: 1|a||', false",
        "': wait||', 'failed||', '', true"
    })
    void testPartHasTheEventsThatFollow(String begun, String received, String forwarded, boolean fault) {
        EventSequence sequence = new EventSequence(StreamEvent.NO_ID);
        sequence.part(StreamContent.EVENTS).add(events(begun));
        StreamPart part = sequence.part(StreamContent.EVENTS);
        assertEquals(forwarded, text(part.add(events(received))));
        assertEquals(fault, part.fault().isPresent());
    }

    /** Guards against a part that brings nothing and passes for the end of the stream. */
    @ParameterizedTest
    @CsvSource({
        "EVENTS, EVENTS, '', true, true",
        "EVENTS, EVENTS, '', false, false",
        "EVENTS, UNSTATED, '', true, false",
        "UNSTATED, UNSTATED, '', true, true",
        "UNSTATED, EVENTS, '', true, true",
        "EVENTS, EVENTS, ': wait||', true, true",
        "EVENTS, EVENTS, ': wait||', false, false",
        "EVENTS, EVENTS, 'id: 1|a||', true, false",
        "EVENTS, EVENTS, 'id: 1|a||id: 2|b||', true, true",
        "EVENTS, EVENTS, 'id: 1|a||id: 2|b||', false, false",
        "EVENTS, EVENTS, 'id: 3|c||', false, true"
    })
    void testPartWithoutNewEventsEndsAStreamThatTheCallerHas(
            StreamContent first, StreamContent next, String received, boolean framed, boolean ends) {
        EventSequence sequence = new EventSequence(StreamEvent.NO_ID);
        sequence.part(first).add(events("id: 1|a||id: 2|b||"));
        StreamPart part = sequence.part(next);
        part.add(events(received));
        assertEquals(ends, part.endsStream(framed));
    }

    /** Guards against a stream that another engine continues although it has events which no id tells. */
    @ParameterizedTest
    @CsvSource({"'id: 1|a||', true", "': wait||id: 1|a||', true", "'data: a||', false", "'id: 1|a||data: b||', false"})
    void testStreamIsResumableIfIdsTellItsEvents(String begun, boolean resumable) {
        EventSequence sequence = new EventSequence(StreamEvent.NO_ID);
        sequence.part(StreamContent.EVENTS).add(events(begun));
        assertEquals(resumable, sequence.isResumable());
    }
}
