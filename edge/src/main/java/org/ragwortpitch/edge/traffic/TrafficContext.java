package org.ragwortpitch.edge.traffic;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.homes.Regions;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.placement.EngineChooser;
import org.ragwortpitch.placement.Placement;
import org.ragwortpitch.resumption.StreamOrigins;

/**
 * The collaborators that all requests share.
 *
 * @param loop        the traffic thread
 * @param clockMillis the monotonic clock, in milliseconds
 * @param wallMillis  the wall clock that the majority of daemons agrees on, in milliseconds since 1970
 * @param domain      this daemon's failure domain
 * @param regions     the region of each failure domain
 * @param readEndpointsSoon has the endpoints' list read ahead of schedule
 */
public record TrafficContext(
        EventLoop loop,
        LongSupplier clockMillis,
        LongSupplier wallMillis,
        FailureDomain domain,
        Regions regions,
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
        EdgeMetrics metrics) {

    /**
     * Returns what selects engines for a generation.
     */
    EngineSelector engines(EngineChooser chooser, PoolId pool, Generation generation, Exchange exchange) {
        Homes homes = Homes.of(exchange.route(), exchange.account());
        return new EngineSelector(
                endpoints,
                chooser,
                pool,
                generation,
                exchange.route().targetMillis(),
                homes,
                regions.endpointDomains(homes),
                demands.overflows().decide(pool, generation, exchange.attemptId()));
    }

    /**
     * Counts the bytes of a request and of its transferred KV cache that go from one failure domain to another.
     */
    void recordTraffic(Placement placement, Generation generation, int bodyBytes) {
        Endpoint decode = placement.decodeEngine().endpoint();
        metrics.recordDomainTraffic(domain, decode.domain(), bodyBytes);
        placement.prefillEngine().ifPresent(engine -> {
            FailureDomain prefill = engine.endpoint().domain();
            long cacheBytes = generation.promptTokens() * engine.spec().kvBytesPerToken();
            metrics.recordDomainTraffic(domain, prefill, bodyBytes);
            metrics.recordDomainTraffic(prefill, decode.domain(), cacheBytes);
        });
    }

    /**
     * Returns the failure domains whose daemons may get a request that this daemon got from its caller.
     */
    Predicate<FailureDomain> daemonDomains(Homes homes) {
        return regions.daemonDomains(homes, domain);
    }
}
