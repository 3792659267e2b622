package org.ragwortpitch.pacing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Until when endpoints are cold, as any source has stated. The latest end holds for an incarnation, since one that is
 * taken for cold too long costs capacity, and one that is taken for warm too early crashes. Confined to one thread.
 */
public final class ColdEndpoints {

    /** Longest time for which an endpoint is taken for cold, in milliseconds, so that no absurd value lasts. */
    static final long MAX_MILLIS = 3_600_000;

    /**
     * Ends that are later by less than this are not adopted, in milliseconds. Daemons repeat to each other how much
     * longer an endpoint is cold, and without a tolerance each transit of a datagram would move the end on. Endpoints
     * are taken for cold that much longer in return.
     */
    static final long TOLERANCE_MILLIS = 250;

    /** How long an incarnation that is no longer listed is not taken for new when it is listed again. */
    static final long RETENTION_MILLIS = 600_000;

    private final Map<EndpointIncarnation, ColdPeriod> periods = new HashMap<>();
    private final Map<FailureDomain, Long> domainUntilMillis = new HashMap<>();
    private final Map<EndpointIncarnation, Long> lastListedMillis = new HashMap<>();
    private boolean listedBefore;

    /**
     * Records a listing of all endpoints.
     *
     * @return the incarnations that have started since the first listing, and were in none before
     */
    public Set<EndpointIncarnation> recordListed(Collection<EndpointIncarnation> listed, long nowMillis) {
        Set<EndpointIncarnation> started = new HashSet<>();
        for (EndpointIncarnation endpoint : listed) {
            if (lastListedMillis.put(endpoint, nowMillis) == null && listedBefore) {
                started.add(endpoint);
            }
        }
        listedBefore = true;
        lastListedMillis.values().removeIf(listedMillis -> nowMillis - listedMillis > RETENTION_MILLIS);
        return started;
    }

    /**
     * Records how much longer an endpoint is cold, listed or not.
     *
     * @param remainingMillis from now, in milliseconds; ignored unless positive
     * @return whether this moves the end of its cold time
     */
    public boolean record(EndpointIncarnation endpoint, long remainingMillis, long nowMillis) {
        periods.values().removeIf(period -> period.untilMillis() + TOLERANCE_MILLIS <= nowMillis);
        long untilMillis = nowMillis + Math.min(MAX_MILLIS, remainingMillis);
        ColdPeriod known = periods.get(endpoint);
        if (remainingMillis <= 0 || known != null && untilMillis <= known.untilMillis() + TOLERANCE_MILLIS) {
            return false;
        }
        periods.put(endpoint, new ColdPeriod(untilMillis, nowMillis));
        return true;
    }

    /**
     * Records that all endpoints of a failure domain may be cold, those that are listed later included.
     *
     * @param untilMillis on the monotonic clock, in milliseconds
     */
    public void recordDomain(FailureDomain domain, long untilMillis) {
        domainUntilMillis.merge(domain, untilMillis, Math::max);
    }

    /**
     * Returns how much longer an endpoint is taken for cold, in milliseconds; 0 if it is not.
     */
    public long remainingMillis(Endpoint endpoint, long nowMillis) {
        ColdPeriod period = periods.get(endpoint.incarnation());
        long ownMillis = period == null ? 0 : period.untilMillis() + TOLERANCE_MILLIS - nowMillis;
        long domainMillis = domainUntilMillis.getOrDefault(endpoint.domain(), nowMillis) - nowMillis;
        return Math.max(0, Math.max(ownMillis, domainMillis));
    }

    /**
     * Returns how much longer endpoints are cold, in milliseconds, for other daemons.
     *
     * @param sinceMillis only those whose end has moved since then, on the monotonic clock
     */
    public Map<EndpointIncarnation, Long> changedSince(long sinceMillis, long nowMillis) {
        Map<EndpointIncarnation, Long> remaining = new HashMap<>();
        periods.forEach((endpoint, period) -> {
            if (period.changedMillis() >= sinceMillis && period.untilMillis() > nowMillis) {
                remaining.put(endpoint, period.untilMillis() - nowMillis);
            }
        });
        return remaining;
    }
}
