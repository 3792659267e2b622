package org.ragwortpitch.allowance;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Allows sends beyond the first of each request in proportion to the requests of the same span, plus this daemon's part
 * of a fixed slack, so that repeats never multiply the load of a failing pool. Confined to one thread.
 */
public final class RepeatBudget {

    /** The part of the bounds that is used; the rest covers daemons that come or go, and clocks that differ. */
    private static final double USED_SHARE = 0.8;

    private final double ratio;
    private final double slack;
    private final long spanMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Makes a budget.
     *
     * @param ratio      repeats allowed for each request
     * @param slack      repeats of all daemons together that are allowed besides, in a span
     * @param spanMillis the span, in milliseconds
     */
    public RepeatBudget(double ratio, double slack, long spanMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.spanMillis = spanMillis;
    }

    /**
     * Notes a request of a caller.
     */
    public void request(long nowMillis) {
        requests.add(nowMillis);
        forget(nowMillis);
    }

    /**
     * Asks for repeats.
     *
     * @param sends   the sends that the repeat takes
     * @param daemons the daemons that share the slack
     */
    public boolean tryRepeat(int sends, int daemons, long nowMillis) {
        forget(nowMillis);
        double allowed = USED_SHARE * (ratio * requests.size() + slack / Math.max(1, daemons));
        if (repeats.size() + sends > allowed) {
            return false;
        }
        for (int send = 0; send < sends; send++) {
            repeats.add(nowMillis);
        }
        return true;
    }

    private void forget(long nowMillis) {
        drop(requests, nowMillis);
        drop(repeats, nowMillis);
    }

    private void drop(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && nowMillis - times.peek() > spanMillis) {
            times.poll();
        }
    }
}
