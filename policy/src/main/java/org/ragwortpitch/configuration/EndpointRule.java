package org.ragwortpitch.configuration;

import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;

/**
 * An endpoint.
 *
 * @param id                 the endpoint
 * @param pool               the pool that it belongs to
 * @param failureDomain      the failure domain that it runs in
 * @param address            its host and port
 * @param role               its initial role
 * @param checksFencing      whether it rejects orders with a stale fencing token
 * @param supply             whether it is on-demand or spot capacity
 * @param costMicrosPerHour  the cost per hour, in millionths of the currency unit
 */
public record EndpointRule(
        EndpointId id,
        PoolId pool,
        FailureDomain failureDomain,
        String address,
        EndpointRole role,
        boolean checksFencing,
        Supply supply,
        long costMicrosPerHour) {}
