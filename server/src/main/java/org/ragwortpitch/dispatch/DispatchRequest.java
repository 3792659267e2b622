package org.ragwortpitch.dispatch;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.routing.Demand;

/**
 * A request that wants an endpoint.
 *
 * @param pool           the pool to serve it
 * @param account        the client account
 * @param weight         the account's weight
 * @param priority       the priority, 0 being the most urgent
 * @param demand         what it asks of the endpoint
 * @param firmOnly       whether only endpoints that the platform will not take back may serve it
 * @param suspect        whether it is suspected of crashing endpoints, so that no two such run beside each other
 * @param avoided        endpoints that failed it before, used only if there are no others
 * @param deadlineMillis when it is too late, of the monotonic clock
 * @param slot           gets the endpoint; fails with {@link org.ragwortpitch.answer.RefusedException}
 */
public record DispatchRequest(
        PoolRule pool,
        AccountId account,
        long weight,
        int priority,
        Demand demand,
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
