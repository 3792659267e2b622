package org.ragwortpitch.edge.control;

import java.util.Map;
import java.util.Set;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * What a reading of the endpoints' list shows of their software versions and cold times.
 *
 * @param sentMillis when its call was sent, in milliseconds of the monotonic clock
 * @param continuous whether it shows all changes since the previous reading
 * @param listed     the versions of the endpoints in the list, leaving ones included, by pool
 * @param since      the versions of the endpoints that were listed at any time since the previous reading, by pool
 * @param coldMillis how much longer endpoints are cold, in milliseconds, as stated by entries that were new to it
 */
public record EndpointReading(
        long sentMillis,
        boolean continuous,
        Map<PoolId, Set<SoftwareVersion>> listed,
        Map<PoolId, Set<SoftwareVersion>> since,
        Map<EndpointIncarnation, Long> coldMillis) {}
