package org.ragwortpitch.membership;

import java.util.Map;
import java.util.TreeMap;

/**
 * A member's own view of its lease. The lease runs from before a renewal was sent, once that renewal was read back as
 * accepted. Confined to one thread; times are of the process's monotonic clock.
 */
public final class MemberLease {

    private final long ttlMillis;

    /** When each renewal that has not been read back was first sent, by its sequence number. */
    private final Map<Long, Long> firstSentMillis = new TreeMap<>();

    /** When the lease ends; {@link Long#MIN_VALUE} if there is none. */
    private long endMillis = Long.MIN_VALUE;

    /** Creates a lease that is not held yet. */
    public MemberLease(LeaseTiming timing) {
        this.ttlMillis = timing.ttlMillis();
    }

    /**
     * Records that a renewal is about to be sent. Resending it does not move the lease's start.
     *
     * @param sequence the renewal's sequence number
     */
    public void recordSending(long sequence, long nowMillis) {
        firstSentMillis.putIfAbsent(sequence, nowMillis);
    }

    /**
     * Extends the lease after a renewal was read back as accepted.
     *
     * @param sequence the renewal's sequence number
     */
    public void recordAccepted(long sequence) {
        Long startMillis = firstSentMillis.remove(sequence);
        if (startMillis != null) {
            endMillis = Math.max(endMillis, startMillis + ttlMillis);
        }
    }

    /** Ends the lease on departure. */
    public void end() {
        endMillis = Long.MIN_VALUE;
        firstSentMillis.clear();
    }

    /** Returns whether the lease is held. */
    public boolean isHeld(long nowMillis) {
        return nowMillis < endMillis;
    }

    /**
     * Returns when the lease ends, in milliseconds of the monotonic clock; {@link Long#MIN_VALUE} if there is none.
     */
    public long endMillis() {
        return endMillis;
    }
}
