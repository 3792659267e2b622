package org.ragwortpitch.edge.traffic;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.ragwortpitch.clock.MedianClock;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.resumption.StreamOrigins;

/**
 * The collaborators of a {@link Gossiper}: the sources of gossip that it sends and the receivers of gossip from peers.
 *
 * @param ready       whether this daemon currently accepts requests of callers
 * @param agreed      receives the wall clock readings of other daemons
 * @param clockMillis the monotonic clock, in milliseconds
 * @param wallMillis  this instance's wall clock, uncorrected, in milliseconds since 1970
 */
public record GossipContext(
        Daemon self,
        PeerView peers,
        EndpointTable endpoints,
        AccountRateLimits accounts,
        PoolDemands demands,
        PoisonRequests poisonRequests,
        StreamOrigins origins,
        WindowCounts usage,
        BooleanSupplier ready,
        MedianClock agreed,
        LongSupplier clockMillis,
        LongSupplier wallMillis) {}
