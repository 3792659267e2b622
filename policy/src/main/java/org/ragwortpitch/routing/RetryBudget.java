package org.ragwortpitch.routing;

/**
 * Allows retries in proportion to successes, so that retries never multiply a failing fleet's load. Confined to one
 * thread.
 */
public final class RetryBudget {

    /**
     * What a retry costs, in thousandths.
     */
    private static final long RETRY_COST = 1_000;

    /**
     * What a success earns, in thousandths of a retry.
     */
    private final long earnedPermille;

    /**
     * The most that is saved, in thousandths of a retry.
     */
    private final long capacity;

    /**
     * What is saved, in thousandths of a retry.
     */
    private long saved;

    /**
     * Makes a full budget.
     *
     * @param earnedPermille what a success earns, in thousandths of a retry
     * @param maxRetries     the most retries that can be saved
     */
    public RetryBudget(long earnedPermille, int maxRetries) {
        this.earnedPermille = earnedPermille;
        this.capacity = maxRetries * RETRY_COST;
        this.saved = capacity;
    }

    /**
     * Notes a success.
     */
    public void earn() {
        saved = Math.min(capacity, saved + earnedPermille);
    }

    /**
     * Asks for a retry.
     *
     * @return whether it is allowed
     */
    public boolean tryRetry() {
        if (saved < RETRY_COST) {
            return false;
        }
        saved -= RETRY_COST;
        return true;
    }
}
