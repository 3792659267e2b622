package org.ragwortpitch.dispatch;

import org.ragwortpitch.routing.RetryBudget;

/**
 * A retry budget for many threads.
 */
public final class SharedRetryBudget {

    /**
     * The budget.
     */
    private final RetryBudget budget;

    /**
     * Makes a full budget.
     *
     * @param earnedPermille what a success earns, in thousandths of a retry
     * @param maxRetries     the most retries that can be saved
     */
    public SharedRetryBudget(long earnedPermille, int maxRetries) {
        this.budget = new RetryBudget(earnedPermille, maxRetries);
    }

    /**
     * Notes a success.
     */
    public synchronized void earn() {
        budget.earn();
    }

    /**
     * Asks for a retry.
     *
     * @return whether it is allowed
     */
    public synchronized boolean tryRetry() {
        return budget.tryRetry();
    }
}
