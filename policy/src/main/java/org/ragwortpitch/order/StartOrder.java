package org.ragwortpitch.order;

import org.ragwortpitch.configuration.Supply;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;

/**
 * Requests a new endpoint from the platform. The offset of the intent serves as idempotency key, so the request can be
 * repeated.
 *
 * @param pool          the pool that the endpoint joins
 * @param failureDomain the failure domain in which to start it
 * @param supply        whether the platform may reclaim the endpoint
 */
public record StartOrder(PoolId pool, FailureDomain failureDomain, Supply supply) implements Order {

    @Override
    public String target() {
        return "";
    }

    @Override
    public boolean checksFencing() {
        return false;
    }
}
