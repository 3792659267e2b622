package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The part of a stream that one response brings. The first part may be any stream; what continues a stream has the
 * events that follow those before, and nothing else. Confined to the traffic thread.
 */
final class StreamPart {

    private final EventSequence sequence;
    private final boolean continued;
    private final StreamContent content;
    private final long lastIdBefore;
    private long highestId = StreamEvent.NO_ID;
    private Optional<String> fault = Optional.empty();

    /**
     * Creates a part without events.
     *
     * @param continued whether the caller has an earlier part
     */
    StreamPart(EventSequence sequence, boolean continued, StreamContent content) {
        this.sequence = sequence;
        this.continued = continued;
        this.content = content;
        this.lastIdBefore = sequence.lastId();
    }

    /**
     * Returns whether the content can't be a part of the stream, whatever it is.
     */
    boolean isOtherContent() {
        return continued && content == StreamContent.OTHER;
    }

    /**
     * Adds received events.
     *
     * @return those to forward: no event that the caller has already, and none from a fault on
     */
    List<StreamEvent> add(List<StreamEvent> events) {
        List<StreamEvent> added = new ArrayList<>();
        for (StreamEvent event : events) {
            if (event.id() != StreamEvent.NO_ID && event.id() <= sequence.lastId()) {
                highestId = Math.max(highestId, event.id());
                continue;
            }
            fault = continued ? faultOf(event) : Optional.empty();
            if (fault.isPresent()) {
                return added;
            }
            highestId = Math.max(highestId, event.id());
            sequence.add(event, content);
            added.add(event);
        }
        return added;
    }

    private Optional<String> faultOf(StreamEvent event) {
        if (event.id() == StreamEvent.NO_ID) {
            return event.isComment() ? Optional.empty() : Optional.of("an event without an id continues no stream");
        }
        return sequence.isNext(event.id())
                ? Optional.empty()
                : Optional.of("event " + event.id() + " does not follow event " + sequence.lastId());
    }

    /**
     * Returns why the last events that were added don't continue the stream; empty if they do.
     */
    Optional<String> fault() {
        return fault;
    }

    /**
     * Returns whether the part can end the stream: it has come as far as the caller has, or states that there is
     * nothing left.
     *
     * @param framed whether the response states its length, or is chunked, rather than ending with the connection
     */
    boolean endsStream(boolean framed) {
        if (!continued || sequence.lastId() > lastIdBefore) {
            return true;
        }
        return framed && (highestId == StreamEvent.NO_ID ? sequence.mayEndWith(content) : highestId == lastIdBefore);
    }
}
