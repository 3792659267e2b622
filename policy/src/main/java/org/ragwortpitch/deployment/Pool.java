package org.ragwortpitch.deployment;

import java.util.Optional;
import org.ragwortpitch.identity.PoolId;

/**
 * A set of interchangeable endpoints.
 *
 * @param id             the pool's id
 * @param maxConnections the maximum number of connections to one endpoint from all daemons together
 * @param engine         the capabilities of its engines; empty for plain services
 * @param scaling        the bounds of its size; empty if the pool is not scaled by this system
 * @param coldStart      how its endpoints behave while they are cold; empty if the configuration doesn't say
 */
public record Pool(
        PoolId id,
        int maxConnections,
        Optional<EngineSpec> engine,
        Optional<ScalingSpec> scaling,
        Optional<ColdStart> coldStart) {

    /**
     * Creates a pool for which the configuration says nothing of cold endpoints.
     */
    public Pool(PoolId id, int maxConnections, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {
        this(id, maxConnections, engine, scaling, Optional.empty());
    }
}
