package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.budget.RetryShares;
import org.ragwortpitch.identity.PoolId;

/**
 * Guards against daemons that together send more repeats in a window than the budget of the fleet allows.
 */
class RetryBudgetsTest {

    private static final PoolId POOL = new PoolId("llm");

    private static InstanceSettings.Bounds bounds(double slack, long graceMillis) {
        return new InstanceSettings.Bounds(3_000, 2_000, graceMillis, 0.2, slack, 10_000, true, 300, 5_000, 10_000, 5);
    }

    private static RetryBudgets started(boolean firstStart, OptionalInt daemons) {
        return new RetryBudgets(bounds(50, 8_000), new RetryShares(firstStart, 0), nowMillis -> daemons, () -> {});
    }

    private static int allowed(RetryBudgets budgets, long nowMillis) {
        int allowed = 0;
        while (budgets.tryReserve(POOL, 1, nowMillis)) {
            budgets.settle(POOL, 1, 1, nowMillis);
            allowed++;
        }
        return allowed;
    }

    /** Guards against a reload of the settings that forgets the repeats of the current window. */
    @Test
    void testReloadKeepsSpentRepeats() {
        RetryBudgets budgets = started(true, OptionalInt.of(5));
        assertEquals(5, allowed(budgets, 0), "half of a fifth of 50");
        budgets.configure(bounds(50, 9_000));
        assertEquals(0, allowed(budgets, 5_000));
        budgets.configure(bounds(100, 9_000));
        assertEquals(5, allowed(budgets, 5_000), "the budget that the new bounds add");
    }

    /** Guards against a daemon that spends the whole slack until it has read which others there are. */
    @Test
    void testDaemonThatDoesNotKnowTheOthersHasNoSlack() {
        assertEquals(0, allowed(started(true, OptionalInt.empty()), 0));
    }

    /** Guards against slack that is spent by a daemon before its restart and again after it, in one window. */
    @Test
    void testRestartedDaemonHasNoSlackForAWindow() {
        RetryBudgets budgets = started(false, OptionalInt.of(5));
        for (int request = 0; request < 100; request++) {
            budgets.recordRequest(POOL, 10_000);
        }
        assertEquals(10, allowed(budgets, 10_000), "half of 0.2 x 100, and none of the slack");
        assertEquals(5, allowed(budgets, 10_001), "half of a fifth of 50");
    }
}
