package org.ragwortpitch.deployment;

import java.util.List;
import java.util.Set;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.Region;
import org.ragwortpitch.identity.RouteId;

/**
 * Maps a host and path prefix to pools, with the limits and latency targets of its requests.
 *
 * @param id              the route's id
 * @param host            the host, in lower case and without a port
 * @param pathPrefix      the path prefix; begins and ends with a slash
 * @param kind            whether requests may be retried
 * @param timeoutMillis   the deadline of a request, in milliseconds
 * @param targetMillis    the latency target, in milliseconds, of a response or of the first event of a stream
 * @param targetGapMillis the target for the longest gap between events, in milliseconds; 0 for none
 * @param priority        the priority; 0 is the most urgent
 * @param shares          the traffic split over pools; at least one entry
 * @param maxEndpoints    the maximum number of endpoints that may run one attempt of a caller
 * @param open            whether requests without an API key are accepted
 * @param resumable       whether an interrupted stream may resume on another endpoint
 * @param homes           the regions that may serve its requests; empty if any region may
 */
public record Route(
        RouteId id,
        String host,
        String pathPrefix,
        RequestKind kind,
        int timeoutMillis,
        int targetMillis,
        int targetGapMillis,
        int priority,
        List<PoolShare> shares,
        int maxEndpoints,
        boolean open,
        boolean resumable,
        Set<Region> homes) {

    /**
     * Copies the shares and the homes.
     */
    public Route {
        shares = List.copyOf(shares);
        homes = Set.copyOf(homes);
    }

    /**
     * Creates a route whose requests any region may serve.
     */
    public Route(
            RouteId id,
            String host,
            String pathPrefix,
            RequestKind kind,
            int timeoutMillis,
            int targetMillis,
            int targetGapMillis,
            int priority,
            List<PoolShare> shares,
            int maxEndpoints,
            boolean open,
            boolean resumable) {
        this(
                id,
                host,
                pathPrefix,
                kind,
                timeoutMillis,
                targetMillis,
                targetGapMillis,
                priority,
                shares,
                maxEndpoints,
                open,
                resumable,
                Set.of());
    }

    /**
     * Selects a pool by weight. If all weights are 0, the first pool is selected.
     *
     * @param draw a uniformly distributed number
     */
    public PoolId choosePool(long draw) {
        long totalWeight = shares.stream().mapToLong(PoolShare::weight).sum();
        long remaining = totalWeight <= 0 ? 0 : Math.floorMod(draw, totalWeight);
        for (PoolShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.pool();
            }
        }
        return shares.get(0).pool();
    }

    /**
     * Returns whether a request that may have run can be retried on another endpoint.
     */
    public boolean isRetryable() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAM && resumable;
    }
}
