package org.ragwortpitch.limit;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A token bucket whose reservations can be refunded without exceeding the burst. A refund raises the level only to
 * where it would be if the exact amount had been reserved in the first place: refill that would have overflowed a
 * fuller bucket is not recovered. Confined to one thread; times are of the process's monotonic clock.
 */
public final class TokenBucket {

    private static final long MICROS_PER_TOKEN = 1_000_000;

    /** The longest interval credited by one refill, in milliseconds; keeps products within a long. */
    private static final long MAX_REFILL_MILLIS = 1_000_000;

    private final long microsPerMilli;
    private final long capacityMicros;

    /** The reservations that can still be refunded. */
    private final Set<Reservation> outstanding = new LinkedHashSet<>();

    private long levelMicros;

    /** The part of the capacity that is set aside for amounts in use elsewhere, in millionths of a token. */
    private long setAsideMicros;

    private long updatedMillis;

    /**
     * Creates an empty bucket.
     *
     * @param tokensPerSecond the refill rate, in tokens per second
     * @param burstTokens     the capacity, in tokens
     * @param parts           the number of equal parts that rate and burst are split into; this bucket is one of them
     * @param nowMillis       the current time
     */
    public TokenBucket(long tokensPerSecond, long burstTokens, int parts, long nowMillis) {
        this.microsPerMilli = tokensPerSecond * (MICROS_PER_TOKEN / 1000) / parts;
        this.capacityMicros = burstTokens * MICROS_PER_TOKEN / parts;
        this.updatedMillis = nowMillis;
    }

    /**
     * Reserves an amount, part of which can be refunded by {@link #settle}.
     *
     * @param tokens    the amount, in tokens
     * @param nowMillis the current time
     * @return the reservation, or empty if the level is too low
     */
    public Optional<Reservation> reserve(long tokens, long nowMillis) {
        refill(nowMillis);
        if (tokens > capacityMicros / MICROS_PER_TOKEN || tokens * MICROS_PER_TOKEN > levelMicros) {
            return Optional.empty();
        }
        noteHeadroom();
        levelMicros -= tokens * MICROS_PER_TOKEN;
        Reservation reservation = new Reservation(tokens);
        outstanding.add(reservation);
        return Optional.of(reservation);
    }

    /**
     * Closes a reservation and refunds its unused part. Does nothing if the reservation is already settled.
     *
     * @param usedTokens the part that was used, in tokens
     */
    public void settle(Reservation reservation, long usedTokens, long nowMillis) {
        if (!outstanding.remove(reservation)) {
            return;
        }
        refill(nowMillis);
        long unusedMicros = Math.max(0, reservation.tokens() - usedTokens) * MICROS_PER_TOKEN;
        long refundMicros = Math.max(0, Math.min(unusedMicros, Math.min(reservation.headroomMicros(), headroom())));
        levelMicros += refundMicros;
        outstanding.forEach(other -> other.lowerHeadroom(refundMicros));
        noteHeadroom();
    }

    /**
     * Sets capacity aside for a reservation that another daemon spends, until the reservation is settled or expires.
     */
    public void hold(Reservation reservation) {
        setAsideMicros += reservation.tokens() * MICROS_PER_TOKEN;
        noteHeadroom();
    }

    /** Frees the capacity that was set aside by {@link #hold}. */
    public void release(Reservation reservation, long nowMillis) {
        refill(nowMillis);
        setAsideMicros -= reservation.tokens() * MICROS_PER_TOKEN;
    }

    /**
     * Returns how long it takes until an amount can be reserved, if nothing else is reserved in the meantime.
     *
     * @param tokens    the amount, in tokens
     * @param nowMillis the current time
     * @return the time in milliseconds; {@link Long#MAX_VALUE} if the amount exceeds the capacity or the rate is 0
     */
    public long millisUntil(long tokens, long nowMillis) {
        refill(nowMillis);
        if (tokens > capacityMicros / MICROS_PER_TOKEN || microsPerMilli == 0) {
            return Long.MAX_VALUE;
        }
        long missingMicros = Math.max(0, tokens * MICROS_PER_TOKEN - levelMicros);
        return (missingMicros + microsPerMilli - 1) / microsPerMilli;
    }

    /** Returns the current level, in whole tokens. */
    public long levelTokens(long nowMillis) {
        refill(nowMillis);
        return levelMicros / MICROS_PER_TOKEN;
    }

    /** Returns the capacity, in whole tokens. */
    public long capacityTokens() {
        return capacityMicros / MICROS_PER_TOKEN;
    }

    /**
     * Adds the level handed over by a previous owner, up to the free capacity.
     *
     * @param tokens the amount, in tokens
     */
    public void credit(long tokens, long nowMillis) {
        refill(nowMillis);
        levelMicros += Math.max(0, Math.min(tokens * MICROS_PER_TOKEN, headroom()));
        noteHeadroom();
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.min(MAX_REFILL_MILLIS, Math.max(0, nowMillis - updatedMillis));
        updatedMillis = Math.max(updatedMillis, nowMillis);
        levelMicros += Math.min(elapsedMillis * microsPerMilli, Math.max(0, headroom()));
    }

    /** Returns the free capacity, in millionths of a token; negative if level and set-aside exceed the capacity. */
    private long headroom() {
        return capacityMicros - setAsideMicros - levelMicros;
    }

    private void noteHeadroom() {
        long headroom = headroom();
        outstanding.forEach(reservation -> reservation.noteHeadroom(headroom));
    }
}
