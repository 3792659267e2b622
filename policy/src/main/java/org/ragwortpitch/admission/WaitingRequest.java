package org.ragwortpitch.admission;

import org.ragwortpitch.identity.AccountId;

/**
 * A request that waits for room on an engine. Times are of the monotonic clock, in milliseconds.
 *
 * @param item              the request itself
 * @param account           the client account
 * @param weight            the account's weight, at least 1
 * @param priority          the priority; 0 is the most urgent
 * @param tokens            the KV cache tokens that it needs with its expected output
 * @param bytes             the memory that it holds while it waits, in bytes
 * @param arrivedMillis     when it began to wait
 * @param latestStartMillis until when its first event can still come in time if it is placed
 * @param <T>               the type of requests
 */
public record WaitingRequest<T>(
        T item,
        AccountId account,
        long weight,
        int priority,
        long tokens,
        long bytes,
        long arrivedMillis,
        long latestStartMillis) {

    /** Share of the longest wait after which a request of any priority is as urgent as the most urgent ones. */
    private static final double AGED_SHARE = 0.5;

    /**
     * Share of the longest wait after which room is kept for a request. Engines need some time to free room for a large
     * one: of those beside five times as many small ones, 0.77 were served in time with 0.5 in a trial.
     */
    private static final double RESERVATION_SHARE = 0.2;

    /**
     * Returns the priority with ageing, which rises with the time waited, so that urgent requests starve no others: by
     * half of the time that the request may wait, it is 0.
     */
    int agedPriority(long nowMillis) {
        return (int) Math.ceil(Math.max(0, priority) * Math.max(0, 1 - waitedShare(nowMillis) / AGED_SHARE));
    }

    /**
     * Returns whether room has to be kept for the request for it to start in time.
     */
    boolean needsReservation(long nowMillis) {
        return waitedShare(nowMillis) >= RESERVATION_SHARE;
    }

    private double waitedShare(long nowMillis) {
        return (nowMillis - arrivedMillis) / (double) Math.max(1, latestStartMillis - arrivedMillis);
    }
}
