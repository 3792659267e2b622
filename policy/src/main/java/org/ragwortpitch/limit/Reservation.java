package org.ragwortpitch.limit;

/**
 * An amount taken from a bucket, part of which may be given back. It belongs to its bucket's thread.
 */
public final class Reservation {

    /**
     * The amount, in tokens.
     */
    private final long tokens;

    /**
     * The least room that the bucket had since, in millionths of a token.
     */
    private long headroomMicros = Long.MAX_VALUE;

    /**
     * Makes a reservation.
     *
     * @param tokens the amount, in tokens
     */
    Reservation(long tokens) {
        this.tokens = tokens;
    }

    /**
     * Tells the amount.
     *
     * @return the amount, in tokens
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Tells the least room since the reservation was made.
     *
     * @return the room, in millionths of a token
     */
    long headroomMicros() {
        return headroomMicros;
    }

    /**
     * Notes the room that the bucket has now.
     *
     * @param nowMicros the room, in millionths of a token
     */
    void noteHeadroom(long nowMicros) {
        headroomMicros = Math.min(headroomMicros, nowMicros);
    }

    /**
     * Notes that the bucket would have been fuller all the time.
     *
     * @param byMicros by how much, in millionths of a token
     */
    void lowerHeadroom(long byMicros) {
        if (headroomMicros != Long.MAX_VALUE) {
            headroomMicros -= byMicros;
        }
    }
}
