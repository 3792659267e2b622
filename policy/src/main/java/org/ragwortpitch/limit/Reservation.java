package org.ragwortpitch.limit;

/**
 * An amount reserved from a bucket, part of which can be refunded. Confined to its bucket's thread.
 */
public final class Reservation {

    private final long tokens;

    /** The least free capacity of the bucket since the reservation, in millionths of a token. */
    private long headroomMicros = Long.MAX_VALUE;

    Reservation(long tokens) {
        this.tokens = tokens;
    }

    /** Returns the amount, in tokens. */
    public long tokens() {
        return tokens;
    }

    long headroomMicros() {
        return headroomMicros;
    }

    void noteHeadroom(long nowMicros) {
        headroomMicros = Math.min(headroomMicros, nowMicros);
    }

    /**
     * Accounts for a refund that would have kept the bucket fuller since this reservation.
     *
     * @param byMicros the refunded amount, in millionths of a token
     */
    void lowerHeadroom(long byMicros) {
        if (headroomMicros != Long.MAX_VALUE) {
            headroomMicros -= byMicros;
        }
    }
}
