package org.ragwortpitch.deployment;

import org.ragwortpitch.identity.PoolId;

/**
 * A pool's part of a route's requests.
 *
 * @param pool   the pool
 * @param weight its weight among the shares of the route
 */
public record PoolShare(PoolId pool, int weight) {}
