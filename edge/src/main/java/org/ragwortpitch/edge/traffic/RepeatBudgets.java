package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.ragwortpitch.allowance.RepeatBudget;
import org.ragwortpitch.contract.InstanceSettings;
import org.ragwortpitch.identity.PoolId;

/**
 * How often requests of each pool may be sent again. Confined to the traffic thread.
 */
public final class RepeatBudgets {

    private InstanceSettings.Bounds bounds;
    private final IntSupplier daemons;
    private final Map<PoolId, RepeatBudget> budgets = new HashMap<>();

    /**
     * Makes budgets.
     *
     * @param daemons the daemons that share the slack, as of now
     */
    public RepeatBudgets(InstanceSettings.Bounds bounds, IntSupplier daemons) {
        this.bounds = bounds;
        this.daemons = daemons;
    }

    /**
     * Takes new bounds over; what was counted so far is forgotten.
     */
    public void configure(InstanceSettings.Bounds newBounds) {
        if (!newBounds.equals(bounds)) {
            bounds = newBounds;
            budgets.clear();
        }
    }

    /**
     * Notes a request of a caller.
     */
    void request(PoolId pool, long nowMillis) {
        budget(pool).request(nowMillis);
    }

    /**
     * Asks for a repeat.
     *
     * @param sends the sends that it takes
     */
    boolean tryRepeat(PoolId pool, int sends, long nowMillis) {
        return budget(pool).tryRepeat(sends, daemons.getAsInt(), nowMillis);
    }

    private RepeatBudget budget(PoolId pool) {
        return budgets.computeIfAbsent(
                pool, id -> new RepeatBudget(bounds.repeatRatio(), bounds.repeatSlack(), bounds.repeatSpanMillis()));
    }
}
