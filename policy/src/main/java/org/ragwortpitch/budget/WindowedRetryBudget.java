package org.ragwortpitch.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A retry budget: allows sends beyond the first of each request in proportion to the requests within a sliding window,
 * plus this daemon's share of a fixed allowance, so that retries never multiply the load on a failing pool. Confined to
 * one thread.
 */
public final class WindowedRetryBudget {

    private double ratio;
    private double slack;
    private long spanMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retrySends = new ArrayDeque<>();
    private int reserved;

    /**
     * Creates a budget.
     *
     * @param ratio      the retries allowed per request
     * @param slack      the retries per window that all daemons together are allowed regardless of requests
     * @param spanMillis the length of the window, in milliseconds
     */
    public WindowedRetryBudget(double ratio, double slack, long spanMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.spanMillis = spanMillis;
    }

    /** Changes ratio, slack and window; requests and retries of the window still count. */
    public void configure(double newRatio, double newSlack, long newSpanMillis) {
        ratio = newRatio;
        slack = newSlack;
        spanMillis = newSpanMillis;
    }

    /** Records a request received from a caller. */
    public void recordRequest(long nowMillis) {
        requests.add(nowMillis);
        removeExpired(nowMillis);
    }

    /**
     * Reserves the sends of a retry. They count until {@link #settle}, as they may arrive at any time until then, and
     * for a window after it. Reserves nothing if the budget is too low.
     *
     * @param sends the number of sends that the retry takes
     * @param share the part of the budget that this daemon may spend
     * @return whether the retry is allowed
     */
    public boolean tryReserve(int sends, RetryShare share, long nowMillis) {
        if (spent(nowMillis) + sends > allowed(share, nowMillis)) {
            return false;
        }
        reserved += sends;
        return true;
    }

    /**
     * Ends a reservation, whose sends have arrived by now if they were made.
     *
     * @param reservedSends the number of reserved sends
     * @param madeSends     how many of them were made; the others are returned to the budget
     */
    public void settle(int reservedSends, int madeSends, long nowMillis) {
        reserved -= reservedSends;
        for (int send = 0; send < madeSends; send++) {
            retrySends.add(nowMillis);
        }
    }

    /**
     * Returns the number of sends that are reserved, or were settled within the window.
     */
    public int spent(long nowMillis) {
        removeExpired(nowMillis);
        return reserved + retrySends.size();
    }

    /**
     * Returns the number of sends that the budget allows within the window.
     *
     * @param share the part of the budget that this daemon may spend
     */
    public double allowed(RetryShare share, long nowMillis) {
        removeExpired(nowMillis);
        return ratio * requests.size() * share.ofRatio() + slack * share.ofSlack();
    }

    private void removeExpired(long nowMillis) {
        removeExpiredFrom(requests, nowMillis);
        removeExpiredFrom(retrySends, nowMillis);
    }

    private void removeExpiredFrom(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && nowMillis - times.peek() > spanMillis) {
            times.poll();
        }
    }
}
