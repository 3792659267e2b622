package org.ragwortpitch.limit;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A token bucket whose reservations can be given back without breaking the burst. What is given back lifts the level
 * only to where it would stand had the exact amount been taken at first: refill that a fuller bucket would have spilt
 * stays spilt. Confined to one thread; times are of the process's monotonic clock.
 */
public final class Bucket {

    /**
     * The units that one token is counted in.
     */
    private static final long MICROS = 1_000_000;

    /**
     * The longest time that refills at once, in milliseconds; it keeps products within a long.
     */
    private static final long MAX_REFILL_MILLIS = 1_000_000;

    /**
     * The refill, in millionths of a token for each millisecond.
     */
    private final long microsPerMilli;

    /**
     * The most that the bucket holds, in millionths of a token.
     */
    private final long capacityMicros;

    /**
     * The reservations that may still be given back.
     */
    private final Set<Reservation> outstanding = new LinkedHashSet<>();

    /**
     * What the bucket holds, in millionths of a token.
     */
    private long levelMicros;

    /**
     * The part of the capacity that is kept free for amounts that are under way elsewhere, in millionths of a token.
     */
    private long heldMicros;

    /**
     * When the level was last brought up to date.
     */
    private long updatedMillis;

    /**
     * Makes an empty bucket.
     *
     * @param tokensPerSecond the refill, in tokens a second
     * @param burstTokens     the most that it holds, in tokens
     * @param parts           into how many equal parts rate and burst are divided; this bucket is one of them
     * @param nowMillis       the present time
     */
    public Bucket(long tokensPerSecond, long burstTokens, int parts, long nowMillis) {
        this.microsPerMilli = tokensPerSecond * (MICROS / 1000) / parts;
        this.capacityMicros = burstTokens * MICROS / parts;
        this.updatedMillis = nowMillis;
    }

    /**
     * Takes an amount, part of which may be given back.
     *
     * @param tokens    the amount, in tokens
     * @param nowMillis the present time
     * @return the reservation, or nothing if the bucket holds less
     */
    public Optional<Reservation> reserve(long tokens, long nowMillis) {
        refill(nowMillis);
        if (tokens > capacityMicros / MICROS || tokens * MICROS > levelMicros) {
            return Optional.empty();
        }
        noteHeadroom();
        levelMicros -= tokens * MICROS;
        Reservation reservation = new Reservation(tokens);
        outstanding.add(reservation);
        return Optional.of(reservation);
    }

    /**
     * Settles a reservation.
     *
     * @param reservation the reservation
     * @param usedTokens  what was used of it, in tokens
     * @param nowMillis   the present time
     */
    public void settle(Reservation reservation, long usedTokens, long nowMillis) {
        if (!outstanding.remove(reservation)) {
            return;
        }
        refill(nowMillis);
        long unused = Math.max(0, reservation.tokens() - usedTokens) * MICROS;
        long lift = Math.max(0, Math.min(unused, Math.min(reservation.headroomMicros(), headroom())));
        levelMicros += lift;
        outstanding.forEach(other -> other.lowerHeadroom(lift));
        noteHeadroom();
    }

    /**
     * Keeps room for a reservation that another daemon will spend, until it is spent or void.
     *
     * @param reservation the reservation
     */
    public void hold(Reservation reservation) {
        heldMicros += reservation.tokens() * MICROS;
        noteHeadroom();
    }

    /**
     * Frees the room that was kept for a loan.
     *
     * @param reservation the loan
     * @param nowMillis   the present time
     */
    public void release(Reservation reservation, long nowMillis) {
        refill(nowMillis);
        heldMicros -= reservation.tokens() * MICROS;
    }

    /**
     * Tells how long it takes until an amount can be taken, if nothing else is taken meanwhile.
     *
     * @param tokens    the amount, in tokens
     * @param nowMillis the present time
     * @return the time, in milliseconds; the greatest number if the bucket never holds as much
     */
    public long millisUntil(long tokens, long nowMillis) {
        refill(nowMillis);
        if (tokens > capacityMicros / MICROS || microsPerMilli == 0) {
            return Long.MAX_VALUE;
        }
        long missing = Math.max(0, tokens * MICROS - levelMicros);
        return (missing + microsPerMilli - 1) / microsPerMilli;
    }

    /**
     * Tells what the bucket holds.
     *
     * @param nowMillis the present time
     * @return the level, in whole tokens
     */
    public long levelTokens(long nowMillis) {
        refill(nowMillis);
        return levelMicros / MICROS;
    }

    /**
     * Tells the most that the bucket holds.
     *
     * @return the capacity, in whole tokens
     */
    public long capacityTokens() {
        return capacityMicros / MICROS;
    }

    /**
     * Fills the bucket with what a former home has given up.
     *
     * @param tokens    the amount, in tokens
     * @param nowMillis the present time
     */
    public void inherit(long tokens, long nowMillis) {
        refill(nowMillis);
        levelMicros += Math.max(0, Math.min(tokens * MICROS, headroom()));
        noteHeadroom();
    }

    /**
     * Brings the level up to date.
     *
     * @param nowMillis the present time
     */
    private void refill(long nowMillis) {
        long elapsedMillis = Math.min(MAX_REFILL_MILLIS, Math.max(0, nowMillis - updatedMillis));
        updatedMillis = Math.max(updatedMillis, nowMillis);
        levelMicros += Math.min(elapsedMillis * microsPerMilli, Math.max(0, headroom()));
    }

    /**
     * Tells how much fits in.
     *
     * @return the room, in millionths of a token; negative if more is kept free than is free
     */
    private long headroom() {
        return capacityMicros - heldMicros - levelMicros;
    }

    /**
     * Lets all outstanding reservations know the room that there is now.
     */
    private void noteHeadroom() {
        long headroom = headroom();
        outstanding.forEach(reservation -> reservation.noteHeadroom(headroom));
    }
}
