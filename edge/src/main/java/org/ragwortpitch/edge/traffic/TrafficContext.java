package org.ragwortpitch.edge.traffic;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.resumption.StreamOrigins;

/**
 * The collaborators that all requests share.
 *
 * @param loop        the traffic thread
 * @param clockMillis the monotonic clock, in milliseconds
 * @param wallMillis  the wall clock that the majority of daemons agrees on, in milliseconds since 1970
 * @param domain      this daemon's failure domain
 * @param readEndpointsSoon has the endpoints' list read ahead of schedule
 */
public record TrafficContext(
        EventLoop loop,
        LongSupplier clockMillis,
        LongSupplier wallMillis,
        FailureDomain domain,
        ConnectionPool connections,
        EndpointTable endpoints,
        EndpointContacts contacts,
        ProxyPeers proxies,
        AccountRateLimits accounts,
        RetryBudgets retryBudgets,
        WindowCounts usage,
        PoolDemands demands,
        PoisonRequests poisonRequests,
        StreamOrigins origins,
        Runnable readEndpointsSoon,
        EdgeMetrics metrics) {}
