package org.ragwortpitch.edge.traffic;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.ledger.WindowCounts;

/**
 * The collaborators that all requests share.
 *
 * @param loop        the traffic thread
 * @param clockMillis the monotonic clock, in milliseconds
 * @param wallMillis  the wall clock that the majority of daemons agrees on, in milliseconds since 1970
 * @param domain      this daemon's failure domain
 */
public record TrafficParts(
        EventLoop loop,
        LongSupplier clockMillis,
        LongSupplier wallMillis,
        FailureDomain domain,
        ConnectionPool connections,
        Fleet fleet,
        Accounts accounts,
        RepeatBudgets repeats,
        WindowCounts usage,
        Demands demands,
        Suspects suspects,
        EdgeMetrics metrics) {}
