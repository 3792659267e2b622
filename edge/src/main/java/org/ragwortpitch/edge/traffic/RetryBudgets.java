package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.budget.WindowedRetryBudget;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * Retry budgets of the pools. Confined to the traffic thread.
 */
public final class RetryBudgets {

    private InstanceSettings.Bounds bounds;
    private final IntSupplier daemons;
    private final Runnable onDenied;
    private final Map<PoolId, WindowedRetryBudget> budgets = new HashMap<>();

    /**
     * Creates budgets; each pool gets its own at its first request.
     *
     * @param daemons current number of daemons that share the fixed slack
     * @param onDenied called for each retry that is not allowed
     */
    public RetryBudgets(InstanceSettings.Bounds bounds, IntSupplier daemons, Runnable onDenied) {
        this.bounds = bounds;
        this.daemons = daemons;
        this.onDenied = onDenied;
    }

    /**
     * Applies bounds to all budgets; what was spent within the window still counts.
     */
    public void configure(InstanceSettings.Bounds newBounds) {
        bounds = newBounds;
        budgets.values()
                .forEach(budget ->
                        budget.configure(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()));
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
        boolean allowed = budget(pool).tryRetry(sends, daemons.getAsInt(), nowMillis);
        if (!allowed) {
            onDenied.run();
        }
        return allowed;
    }

    /**
     * Adds to the log line of a retry how much of the budget is spent, and how many daemons share its fixed part.
     */
    Event describe(Event event, PoolId pool, long nowMillis) {
        WindowedRetryBudget budget = budget(pool);
        return event.with("budget-spent", budget.spent(nowMillis))
                .with("budget", (long) budget.allowed(daemons.getAsInt(), nowMillis))
                .with("daemons", daemons.getAsInt());
    }

    private WindowedRetryBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(
                pool,
                id -> new WindowedRetryBudget(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()));
    }
}
