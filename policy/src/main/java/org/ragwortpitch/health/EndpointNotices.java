package org.ragwortpitch.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.deployment.EndpointIncarnation;

/**
 * What endpoints have said of themselves in their answers: that they leave, which holds for an incarnation, and until
 * when they want nothing of this daemon. Outlives the endpoints' entries in the list, which may vanish and return.
 * Confined to one thread.
 */
public final class EndpointNotices {

    /** How long a notice outlives the entry of its endpoint, in milliseconds. */
    static final long RETENTION_MILLIS = 600_000;

    private final Set<EndpointIncarnation> leaving = new HashSet<>();
    private final Map<EndpointIncarnation, Long> restUntilMillis = new HashMap<>();
    private final Map<EndpointIncarnation, Long> lastListedMillis = new HashMap<>();

    /**
     * Records that an endpoint leaves.
     *
     * @return whether it was not known to
     */
    public boolean recordLeaving(EndpointIncarnation endpoint, long nowMillis) {
        lastListedMillis.putIfAbsent(endpoint, nowMillis);
        return leaving.add(endpoint);
    }

    /**
     * Records that an endpoint wants nothing of this daemon for a while. A longer rest that it asked for before stays.
     *
     * @param restMillis from now, in milliseconds
     * @return whether this changes when its rest ends
     */
    public boolean recordRest(EndpointIncarnation endpoint, long restMillis, long nowMillis) {
        lastListedMillis.putIfAbsent(endpoint, nowMillis);
        long until = nowMillis + restMillis;
        return restUntilMillis.merge(endpoint, until, Math::max) == until;
    }

    /**
     * Returns whether an endpoint has said that it leaves.
     */
    public boolean isLeaving(EndpointIncarnation endpoint) {
        return leaving.contains(endpoint);
    }

    /**
     * Returns the endpoints that have said that they leave.
     */
    public Set<EndpointIncarnation> leaving() {
        return Set.copyOf(leaving);
    }

    /**
     * Returns how much longer an endpoint wants nothing of this daemon, in milliseconds; 0 if it takes requests.
     */
    public long restMillis(EndpointIncarnation endpoint, long nowMillis) {
        return Math.max(0, restUntilMillis.getOrDefault(endpoint, nowMillis) - nowMillis);
    }

    /**
     * Forgets the notices of endpoints that have not been listed for long.
     */
    public void listed(Collection<EndpointIncarnation> endpoints, long nowMillis) {
        endpoints.forEach(endpoint -> lastListedMillis.computeIfPresent(endpoint, (known, before) -> nowMillis));
        lastListedMillis.values().removeIf(listedMillis -> nowMillis - listedMillis > RETENTION_MILLIS);
        leaving.retainAll(lastListedMillis.keySet());
        restUntilMillis.keySet().retainAll(lastListedMillis.keySet());
    }
}
