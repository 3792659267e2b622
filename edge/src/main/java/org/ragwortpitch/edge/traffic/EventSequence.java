package org.ragwortpitch.edge.traffic;

/**
 * How far a stream has come, whichever engines and daemons send its parts. Confined to the traffic thread.
 */
final class EventSequence {

    private long lastId;
    private boolean begun;
    private boolean numbered = true;
    private boolean consecutive = true;
    private StreamContent content = StreamContent.UNSTATED;

    /**
     * Creates a sequence.
     *
     * @param lastId the last event that the caller has from an earlier response; {@link StreamEvent#NO_ID} if none
     */
    EventSequence(long lastId) {
        this.lastId = lastId;
        this.begun = lastId != StreamEvent.NO_ID;
    }

    /**
     * Returns the id of the last event that the caller has; {@link StreamEvent#NO_ID} if none.
     */
    long lastId() {
        return lastId;
    }

    /**
     * Returns whether the caller has a part of the stream, so that another response has to continue it.
     */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Returns whether another engine can continue the stream: all events that the caller has are told by their ids.
     */
    boolean isResumable() {
        return numbered;
    }

    /**
     * Begins the part of the stream that one response brings.
     *
     * @param partContent what the head of the response says of its content
     */
    StreamPart part(StreamContent partContent) {
        return new StreamPart(this, begun, partContent);
    }

    /**
     * Returns whether a response without events can end the stream as the caller has all of it. One that states no
     * content type cannot if the response which began the stream has stated one.
     */
    boolean mayEndWith(StreamContent partContent) {
        return partContent == StreamContent.EVENTS
                || partContent == StreamContent.UNSTATED && content == StreamContent.UNSTATED;
    }

    /**
     * Returns whether an event with an id follows the last one without a gap. Streams whose first engine has left out
     * ids have no gaps to tell.
     */
    boolean isNext(long id) {
        return !consecutive || lastId == StreamEvent.NO_ID || id == lastId + 1;
    }

    /**
     * Adds an event that goes to the caller.
     */
    void add(StreamEvent event, StreamContent partContent) {
        if (!begun) {
            begun = true;
            content = partContent;
        }
        if (event.id() != StreamEvent.NO_ID) {
            consecutive = isNext(event.id()) && consecutive;
            lastId = event.id();
        } else if (!event.isComment()) {
            numbered = false;
        }
    }
}
