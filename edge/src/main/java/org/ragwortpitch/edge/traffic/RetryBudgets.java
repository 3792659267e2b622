package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.budget.WindowedRetryBudget;
import org.ragwortpitch.identity.PoolId;

/**
 * Retry budgets of the pools. Confined to the traffic thread.
 */
public final class RetryBudgets {

    private InstanceSettings.Bounds bounds;
    private final IntSupplier daemons;
    private final Map<PoolId, WindowedRetryBudget> budgets = new HashMap<>();

    /**
     * Creates budgets; each pool gets its own at its first request.
     *
     * @param daemons current number of daemons that share the fixed slack
     */
    public RetryBudgets(InstanceSettings.Bounds bounds, IntSupplier daemons) {
        this.bounds = bounds;
        this.daemons = daemons;
    }

    /**
     * Applies bounds; if they differ from the current ones, all budgets start anew with empty counts.
     */
    public void configure(InstanceSettings.Bounds newBounds) {
        if (!newBounds.equals(bounds)) {
            bounds = newBounds;
            budgets.clear();
        }
    }

    /**
     * Records a request of a caller, which raises the budget.
     */
    void recordRequest(PoolId pool, long nowMillis) {
        budget(pool).recordRequest(nowMillis);
    }

    /**
     * Takes a retry out of the budget if it has enough left.
     *
     * @param sends sends that the retry needs
     * @return whether the retry is allowed
     */
    boolean tryRetry(PoolId pool, int sends, long nowMillis) {
        return budget(pool).tryRetry(sends, daemons.getAsInt(), nowMillis);
    }

    private WindowedRetryBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(
                pool,
                id -> new WindowedRetryBudget(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()));
    }
}
