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
 */
public record Pool(PoolId id, int maxConnections, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {}
