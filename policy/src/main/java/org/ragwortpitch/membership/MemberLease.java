package org.ragwortpitch.membership;

import java.util.Map;
import java.util.TreeMap;

/**
 * A member's own view of its lease. It runs from before a renewal was sent, once that renewal was read back as
 * accepted. Confined to one thread; times are of the process's monotonic clock.
 */
public final class MemberLease {

    /**
     * How long a lease lasts, in milliseconds.
     */
    private final long ttlMillis;

    /**
     * When each renewal that was not yet read back was first sent, by its sequence.
     */
    private final Map<Long, Long> sentAtMillis = new TreeMap<>();

    /**
     * When the lease ends; the beginning of time if there is none.
     */
    private long endMillis = Long.MIN_VALUE;

    /**
     * Makes a lease that is not held yet.
     *
     * @param timing the times of the lease
     */
    public MemberLease(LeaseTiming timing) {
        this.ttlMillis = timing.ttlMillis();
    }

    /**
     * Notes that a renewal is about to be sent. Sending it again does not move the start.
     *
     * @param sequence  the renewal's sequence
     * @param nowMillis the present time
     */
    public void sending(long sequence, long nowMillis) {
        sentAtMillis.putIfAbsent(sequence, nowMillis);
    }

    /**
     * Notes that a renewal was read back as accepted.
     *
     * @param sequence the renewal's sequence
     */
    public void accepted(long sequence) {
        Long sent = sentAtMillis.remove(sequence);
        if (sent != null) {
            endMillis = Math.max(endMillis, sent + ttlMillis);
        }
    }

    /**
     * Ends the lease, on departure.
     */
    public void end() {
        endMillis = Long.MIN_VALUE;
        sentAtMillis.clear();
    }

    /**
     * Tells whether the lease is held.
     *
     * @param nowMillis the present time
     * @return whether it is held
     */
    public boolean isHeld(long nowMillis) {
        return nowMillis < endMillis;
    }

    /**
     * Tells when the lease ends.
     *
     * @return the end, in milliseconds of the monotonic clock
     */
    public long endMillis() {
        return endMillis;
    }
}
