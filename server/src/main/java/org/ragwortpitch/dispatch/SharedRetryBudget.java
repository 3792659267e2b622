package org.ragwortpitch.dispatch;

import org.ragwortpitch.routing.SuccessRetryBudget;

/**
 * A thread-safe retry budget.
 */
public final class SharedRetryBudget {

    private final SuccessRetryBudget budget;

    /**
     * Creates a full budget.
     *
     * @param earnedPermille the part of a retry that a success adds, in thousandths
     * @param maxRetries     the maximum number of saved retries
     */
    public SharedRetryBudget(long earnedPermille, int maxRetries) {
        this.budget = new SuccessRetryBudget(earnedPermille, maxRetries);
    }

    /**
     * Records a success, which adds to the budget.
     */
    public synchronized void earn() {
        budget.earn();
    }

    /**
     * Takes a retry from the budget.
     *
     * @return whether the budget allowed it
     */
    public synchronized boolean tryRetry() {
        return budget.tryRetry();
    }
}
