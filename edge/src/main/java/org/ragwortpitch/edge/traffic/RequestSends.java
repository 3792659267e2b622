package org.ragwortpitch.edge.traffic;

import org.ragwortpitch.budget.SendTally;
import org.ragwortpitch.identity.PoolId;

/**
 * The sends of one request to the endpoints of a pool. Before a send, the repeats that it may cause are reserved in the
 * retry budget, whatever the reason for the send. Confined to the traffic thread.
 */
final class RequestSends {

    private final RetryBudgets budgets;
    private final PoolId pool;
    private final SendTally tally = new SendTally();
    private int covered;
    private int settled;

    RequestSends(RetryBudgets budgets, PoolId pool) {
        this.budgets = budgets;
        this.pool = pool;
    }

    PoolId pool() {
        return pool;
    }

    /**
     * Reserves the repeats that further sends may cause, as far as no earlier reservation covers them.
     *
     * @param sends       the number of further sends
     * @param withPrefill whether the first of them is a prefill
     * @return whether the sends are allowed
     */
    boolean tryReserve(int sends, boolean withPrefill, long nowMillis) {
        int missing = tally.repeatsAfter(sends, withPrefill) - covered;
        if (missing <= 0) {
            return true;
        }
        if (!budgets.tryReserve(pool, missing, nowMillis)) {
            return false;
        }
        covered += missing;
        return true;
    }

    /**
     * Ends the reservations of all sends so far: an endpoint has answered the last one, or the request has ended.
     */
    void settle(long nowMillis) {
        if (covered > settled) {
            budgets.settle(pool, covered - settled, repeats() - settled, nowMillis);
            covered = repeats();
            settled = covered;
        }
    }

    /**
     * Records a send, which counts as arrived unless {@link #recordNotSent()} takes it back.
     */
    void recordSend() {
        tally.recordSend();
    }

    /**
     * Takes back the last send, as no connection to its endpoint could be opened.
     */
    void recordNotSent() {
        tally.recordNotSent();
    }

    /**
     * Records that an engine accepted a prefill of the request.
     */
    void recordPrefillAccepted() {
        tally.recordPrefillAccepted();
    }

    /**
     * Returns how many of the sends were repeats.
     */
    int repeats() {
        return tally.repeats();
    }
}
