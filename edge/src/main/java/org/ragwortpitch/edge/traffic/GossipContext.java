package org.ragwortpitch.edge.traffic;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.clock.MedianClock;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.resumption.StreamOrigins;

/**
 * The collaborators of a {@link Gossiper}: the sources of gossip that it sends and the receivers of gossip from peers.
 *
 * @param status      what this daemon tells the others about its service to callers
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
        Supplier<PeerStatus> status,
        MedianClock agreed,
        LongSupplier clockMillis,
        LongSupplier wallMillis) {}
