package org.ragwortpitch.configuration;

import org.ragwortpitch.identity.PoolId;

/**
 * A pool of endpoints.
 *
 * @param id          the pool; for models, also the model's name towards callers
 * @param kind        what its endpoints serve
 * @param concurrency how many requests each endpoint takes at once
 */
public record PoolRule(PoolId id, PoolKind kind, int concurrency) {}
