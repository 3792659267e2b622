package org.ragwortpitch.configuration;

import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;

/**
 * An endpoint.
 *
 * @param id                 the endpoint
 * @param pool               the pool that it belongs to
 * @param failureDomain      where it runs
 * @param address            where it is reached, as host and port
 * @param role               which part of the work it does at first
 * @param checksFencing      whether it refuses orders with an old fencing number
 * @param supply             whether the platform may take it back
 * @param costMicrosPerHour  what it costs, in millionths of the currency unit an hour
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
