package org.ragwortpitch.deployment;

import org.ragwortpitch.identity.PoolId;

/**
 * A pool's share of a route's traffic.
 *
 * @param pool   the pool
 * @param weight the weight relative to the other shares of the route
 */
public record PoolShare(PoolId pool, int weight) {}
