package org.ragwortpitch.contact;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.ragwortpitch.identity.InstanceId;

/**
 * A daemon that takes requests which this one can't serve.
 *
 * @param address    where it takes them, as host and port
 * @param sameDomain whether it is in the failure domain of this daemon
 * @param passed     requests of this daemon that it is handling
 */
public record ProxyPeer(InstanceId id, String address, boolean sameDomain, int passed) {

    /** Cost of traffic to another failure domain, in requests that a peer is handling. */
    private static final int CROSS_DOMAIN_PENALTY_REQUESTS = 4;

    /**
     * Returns the peer that gets the next request: one that handles few, preferably in the same failure domain.
     *
     * @param seed differs between requests, so that those of several daemons spread over equal peers
     */
    public static Optional<ProxyPeer> choose(Collection<ProxyPeer> peers, int seed) {
        return peers.stream()
                .min(Comparator.comparingInt(ProxyPeer::cost)
                        .thenComparingInt(peer -> mix(peer.id().hashCode() ^ seed))
                        .thenComparing(peer -> peer.id().value()));
    }

    private int cost() {
        return passed + (sameDomain ? 0 : CROSS_DOMAIN_PENALTY_REQUESTS);
    }

    /** Finalizer of MurmurHash3, which spreads similar ids. */
    private static int mix(int value) {
        int mixed = (value ^ value >>> 16) * 0x85ebca6b;
        mixed = (mixed ^ mixed >>> 13) * 0xc2b2ae35;
        return mixed ^ mixed >>> 16;
    }
}
