package org.ragwortpitch.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against retries that exceed the budget of requests and slack, and so multiply the load on a failing pool.
 */
class WindowedRetryBudgetTest {

    private static final RetryShare SHARE = new RetryShare(0.8, 0.16);

    private final WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 50, 10_000);

    private int allowed(int tries, RetryShare share, long nowMillis) {
        int allowed = 0;
        for (int index = 0; index < tries; index++) {
            if (budget.tryReserve(1, share, nowMillis)) {
                budget.settle(1, 1, nowMillis);
                allowed++;
            }
        }
        return allowed;
    }

    @Test
    void testSlackIsSplitOverDaemons() {
        assertEquals(8, allowed(100, SHARE, 0), "four fifths of a fifth of 50");
    }

    @Test
    void testRetriesAreAllowedInProportionToRequests() {
        for (int index = 0; index < 100; index++) {
            budget.recordRequest(0);
        }
        assertEquals(24, allowed(100, SHARE, 0));
    }

    @Test
    void testRetryLeavesTheWindowAfterItsSpan() {
        allowed(100, SHARE, 0);
        assertFalse(budget.tryReserve(1, SHARE, 10_000));
        assertTrue(budget.tryReserve(1, SHARE, 10_001));
    }

    @Test
    void testRetryOfTwoSendsNeedsBudgetForBoth() {
        assertEquals(7, allowed(7, SHARE, 0));
        assertFalse(budget.tryReserve(2, SHARE, 0));
        assertTrue(budget.tryReserve(1, SHARE, 0));
    }

    /** Guards against retries that are charged when decided, but arrive together with those of the next window. */
    @Test
    void testReservationCountsUntilAWindowAfterItIsSettled() {
        assertTrue(budget.tryReserve(8, SHARE, 0));
        assertFalse(budget.tryReserve(1, SHARE, 20_000));
        budget.settle(8, 6, 20_000);
        assertEquals(2, allowed(100, SHARE, 20_000), "sends that were not made are returned");
        assertEquals(0, allowed(100, SHARE, 30_000));
        assertEquals(8, allowed(100, SHARE, 30_001));
    }
}
