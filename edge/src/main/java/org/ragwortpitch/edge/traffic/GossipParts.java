package org.ragwortpitch.edge.traffic;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.ragwortpitch.clock.AgreedClock;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.ledger.WindowCounts;

/**
 * What a daemon tells others of, and what it learns from them.
 *
 * @param ready       whether this daemon takes callers, as of now
 * @param agreed      learns what the clocks of others show
 * @param clockMillis the monotonic clock, in milliseconds
 * @param wallMillis  this instance's wall clock, uncorrected
 */
public record GossipParts(
        Daemon self,
        PeerView peers,
        Fleet fleet,
        Accounts accounts,
        Demands demands,
        Suspects suspects,
        WindowCounts usage,
        BooleanSupplier ready,
        AgreedClock agreed,
        LongSupplier clockMillis,
        LongSupplier wallMillis) {}
