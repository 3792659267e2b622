package org.ragwortpitch.order;

import org.ragwortpitch.configuration.Supply;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;

/**
 * Asks the platform to start an endpoint. The intent's offset makes the request idempotent.
 *
 * @param pool          the pool that it joins
 * @param failureDomain where to start it
 * @param supply        whether the platform may reclaim it
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
