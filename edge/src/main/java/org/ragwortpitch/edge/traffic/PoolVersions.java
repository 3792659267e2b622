package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.edge.control.EndpointReading;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.resumption.ListedVersions;

/**
 * The software versions that engines of each pool were listed with. Confined to the traffic thread.
 */
final class PoolVersions {

    private final boolean firstStart;
    private final Map<PoolId, ListedVersions> versions = new HashMap<>();

    /**
     * Creates versions of no pool.
     *
     * @param firstStart whether the whole fleet starts for the first time
     */
    PoolVersions(boolean firstStart) {
        this.firstStart = firstStart;
    }

    /**
     * Records which software versions a reading of the endpoints' list shows.
     */
    void read(EndpointReading reading, long nowMillis) {
        Set<PoolId> pools = new HashSet<>(versions.keySet());
        pools.addAll(reading.listed().keySet());
        pools.addAll(reading.since().keySet());
        pools.forEach(pool -> versions.computeIfAbsent(pool, id -> new ListedVersions(firstStart))
                .read(
                        reading.listed().getOrDefault(pool, Set.of()),
                        reading.since().getOrDefault(pool, Set.of()),
                        reading.continuous(),
                        reading.sentMillis(),
                        nowMillis));
    }

    /**
     * Returns the only software version of a pool's engines that can have begun a stream; empty if there may be
     * several.
     *
     * @param arrivedMillis when the request that takes the stream up arrived
     */
    Optional<SoftwareVersion> only(PoolId pool, long arrivedMillis, long nowMillis) {
        return Optional.ofNullable(versions.get(pool)).flatMap(listed -> listed.only(arrivedMillis, nowMillis));
    }

    /**
     * Returns whether the version that began a stream may be known once the list has been read again.
     *
     * @param arrivedMillis when the request that takes the stream up arrived
     */
    boolean awaitReading(PoolId pool, long arrivedMillis, long nowMillis) {
        ListedVersions listed = versions.get(pool);
        return listed != null && listed.awaitsReading(arrivedMillis, nowMillis);
    }
}
