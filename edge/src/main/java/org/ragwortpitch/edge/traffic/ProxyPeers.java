package org.ragwortpitch.edge.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.ragwortpitch.contact.ProxyPeer;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;

/**
 * The daemons that take requests which this one can't serve, and the requests that they are handling. Confined to the
 * traffic thread.
 */
public final class ProxyPeers {

    /** Requests that are passed on at the same time; each holds its body and two connections. */
    private static final int MAX_PASSED = 512;

    private final PeerView peers;
    private final ConnectionPool connections;
    private final LongSupplier clockMillis;
    private final Map<InstanceId, Integer> passed = new HashMap<>();
    private int total;

    /**
     * Creates peers that handle no request of this daemon.
     *
     * @param connections to other daemons
     * @param clockMillis the monotonic clock, in milliseconds
     */
    public ProxyPeers(PeerView peers, ConnectionPool connections, LongSupplier clockMillis) {
        this.peers = peers;
        this.connections = connections;
        this.clockMillis = clockMillis;
    }

    /**
     * Returns whether a daemon takes a request for a pool.
     *
     * @param domains the failure domains whose daemons may get it
     */
    boolean isAvailable(PoolId pool, Predicate<FailureDomain> domains) {
        return choose(pool, domains, Set.of(), 0).isPresent();
    }

    /**
     * Returns the daemon that gets a request.
     *
     * @param domains  the failure domains whose daemons may get it
     * @param excluded daemons that have declined the request
     * @param seed     differs between requests
     */
    Optional<ProxyPeer> choose(PoolId pool, Predicate<FailureDomain> domains, Set<InstanceId> excluded, int seed) {
        if (total >= MAX_PASSED) {
            return Optional.empty();
        }
        return ProxyPeer.choose(
                peers.proxies(pool, domains, id -> passed.getOrDefault(id, 0), clockMillis.getAsLong()).stream()
                        .filter(peer -> !excluded.contains(peer.id()))
                        .toList(),
                seed);
    }

    ConnectionPool connections() {
        return connections;
    }

    void begin(ProxyPeer peer) {
        passed.merge(peer.id(), 1, Integer::sum);
        total++;
    }

    void end(ProxyPeer peer) {
        passed.computeIfPresent(peer.id(), (id, count) -> count == 1 ? null : count - 1);
        total--;
    }
}
