package org.ragwortpitch.deployment;

import java.util.List;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.RouteId;

/**
 * Where the requests of a host and path prefix go, and how.
 *
 * @param id            its name
 * @param host          the host, in lower case and without a port
 * @param pathPrefix    begins and ends with a slash
 * @param kind          what may be repeated
 * @param timeoutMillis the longest that a caller is kept waiting
 * @param targetMillis  within which an answer, or the first event of a stream, is on time
 * @param targetGapMillis the longest pause between events that is on time; 0 where there are none
 * @param urgency       0 is the most urgent
 * @param shares        the pools, at least one
 * @param maxEndpoints  the most endpoints that may run one attempt of a caller
 * @param open          whether no key is needed
 * @param resumable     whether a stream may go on at another endpoint
 */
public record Route(
        RouteId id,
        String host,
        String pathPrefix,
        RequestKind kind,
        int timeoutMillis,
        int targetMillis,
        int targetGapMillis,
        int urgency,
        List<PoolShare> shares,
        int maxEndpoints,
        boolean open,
        boolean resumable) {

    /**
     * Copies the shares.
     */
    public Route {
        shares = List.copyOf(shares);
    }

    /**
     * Picks a pool by weight.
     *
     * @param draw any number, evenly spread
     */
    public PoolId pool(long draw) {
        long sum = shares.stream().mapToLong(PoolShare::weight).sum();
        long left = sum <= 0 ? 0 : Math.floorMod(draw, sum);
        for (PoolShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.pool();
            }
        }
        return shares.get(0).pool();
    }

    /**
     * Tells whether a request that may have run can be sent to another endpoint.
     */
    public boolean repeatable() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAM && resumable;
    }
}
