package org.ragwortpitch.deployment;

import java.util.Optional;
import org.ragwortpitch.identity.PoolId;

/**
 * Endpoints that serve the same requests.
 *
 * @param id             its name
 * @param maxConnections the connections that an endpoint takes from all daemons together
 * @param engine         what its engines can do; empty for plain services
 * @param scaling        how many may be ordered; empty if their number is not ours to choose
 */
public record Pool(PoolId id, int maxConnections, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {}
