package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.LongFunction;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.budget.RetryShare;
import org.ragwortpitch.budget.RetryShares;
import org.ragwortpitch.budget.WindowedRetryBudget;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * Retry budgets of the pools. Confined to the traffic thread.
 */
public final class RetryBudgets {

    private InstanceSettings.Bounds bounds;
    private final RetryShares shares;
    private final LongFunction<OptionalInt> daemons;
    private final Runnable onDenied;
    private final Map<PoolId, WindowedRetryBudget> budgets = new HashMap<>();

    /**
     * Creates budgets; each pool gets its own at its first request.
     *
     * @param shares   this daemon's share of the budgets
     * @param daemons  returns the number of daemons in the fleet at a time in milliseconds; empty while not known
     * @param onDenied called for each retry that is not allowed
     */
    public RetryBudgets(
            InstanceSettings.Bounds bounds, RetryShares shares, LongFunction<OptionalInt> daemons, Runnable onDenied) {
        this.bounds = bounds;
        this.shares = shares;
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
     * Reserves the sends of a retry if the budget has enough left.
     *
     * @param sends sends that the retry needs
     * @return whether the retry is allowed
     */
    boolean tryReserve(PoolId pool, int sends, long nowMillis) {
        boolean allowed = budget(pool).tryReserve(sends, share(nowMillis), nowMillis);
        if (!allowed) {
            onDenied.run();
        }
        return allowed;
    }

    /**
     * Ends a reservation.
     *
     * @param reservedSends the number of reserved sends
     * @param madeSends     how many of them were made
     */
    void settle(PoolId pool, int reservedSends, int madeSends, long nowMillis) {
        budget(pool).settle(reservedSends, madeSends, nowMillis);
    }

    /**
     * Adds to the log line of a retry how much of the budget is spent, and this daemon's share of its slack.
     */
    Event describe(Event event, PoolId pool, long nowMillis) {
        WindowedRetryBudget budget = budget(pool);
        return event.with("budget-spent", budget.spent(nowMillis))
                .with("budget", (long) budget.allowed(share(nowMillis), nowMillis))
                .with(
                        "slack-share",
                        String.format(Locale.ROOT, "%.3f", share(nowMillis).ofSlack()));
    }

    private RetryShare share(long nowMillis) {
        return shares.at(daemons.apply(nowMillis), bounds.retryWindowMillis(), nowMillis);
    }

    private WindowedRetryBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(
                pool,
                id -> new WindowedRetryBudget(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()));
    }
}
