package org.ragwortpitch.dispatch;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.routing.RequestCost;

/**
 * A request for a slot at an endpoint. Compared by identity.
 *
 * @param pool           the pool whose endpoints may serve it
 * @param account        the client account
 * @param weight         the account's weight in the fair queue
 * @param priority       the priority, 0 being the most urgent
 * @param demand         the estimated cost in tokens, and the prompt's prefix blocks
 * @param firmOnly       whether only on-demand endpoints may serve it, because the platform does not reclaim them
 * @param suspect        whether it is suspected of being a poison request; an endpoint runs at most one such
 *     request at a time
 * @param avoided        endpoints that failed it before, used only if no others qualify
 * @param deadlineMillis the deadline, in milliseconds of the monotonic clock
 * @param slot           completed with the slot, or exceptionally with {@link
 *     org.ragwortpitch.refusal.RefusedException}
 */
public record DispatchRequest(
        PoolRule pool,
        AccountId account,
        long weight,
        int priority,
        RequestCost demand,
        boolean firmOnly,
        boolean suspect,
        Set<EndpointId> avoided,
        long deadlineMillis,
        CompletableFuture<Slot> slot) {

    /**
     * Copies the set.
     */
    public DispatchRequest {
        avoided = Set.copyOf(avoided);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
