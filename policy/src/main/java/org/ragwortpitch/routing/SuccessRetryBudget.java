package org.ragwortpitch.routing;

/**
 * Retry budget: a token bucket that successes refill, so that retries stay a bounded fraction of the traffic and never
 * multiply the load on a failing fleet. Confined to one thread.
 */
public final class SuccessRetryBudget {

    /**
     * Cost of a retry, in thousandths of a retry.
     */
    private static final long RETRY_COST_PERMILLE = 1_000;

    private final long earnedPermille;

    private final long capacityPermille;

    private long availablePermille;

    /**
     * Creates a full budget.
     *
     * @param earnedPermille the refill per success, in thousandths of a retry
     * @param maxRetries     the capacity, in retries
     */
    public SuccessRetryBudget(long earnedPermille, int maxRetries) {
        this.earnedPermille = earnedPermille;
        this.capacityPermille = maxRetries * RETRY_COST_PERMILLE;
        this.availablePermille = capacityPermille;
    }

    /**
     * Refills the budget after a success, up to its capacity.
     */
    public void earn() {
        availablePermille = Math.min(capacityPermille, availablePermille + earnedPermille);
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether the retry is allowed; if not, the budget is unchanged
     */
    public boolean tryRetry() {
        if (availablePermille < RETRY_COST_PERMILLE) {
            return false;
        }
        availablePermille -= RETRY_COST_PERMILLE;
        return true;
    }
}
