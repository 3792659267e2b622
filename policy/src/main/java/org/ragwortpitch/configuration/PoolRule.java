package org.ragwortpitch.configuration;

import org.ragwortpitch.identity.PoolId;

/**
 * A pool of endpoints.
 *
 * @param id          the pool; for models, also the model name that callers use
 * @param kind        what its endpoints serve
 * @param concurrency the maximum number of concurrent requests of one endpoint
 */
public record PoolRule(PoolId id, PoolKind kind, int concurrency) {}
