package org.ragwortpitch.edge.traffic;

import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortpitch.deployment.RequestKind;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Hands a request that was sent to endpoints over to another daemon, once this one reaches none of them. Confined to
 * the traffic thread.
 */
final class ProxyFallback {

    /** Endpoints to which no connection opens, after which another daemon is asked. */
    private static final int MAX_FAILED_CONNECTS = 2;

    private final TrafficContext context;
    private final Exchange exchange;
    private final PoolId pool;
    private final long configuration;
    private int failedConnects;

    /**
     * Prepares a fallback.
     *
     * @param configuration version of the configuration in force
     */
    ProxyFallback(TrafficContext context, Exchange exchange, PoolId pool, long configuration) {
        this.context = context;
        this.exchange = exchange;
        this.pool = pool;
        this.configuration = configuration;
    }

    /**
     * Returns how many times the request may have been executed before it came here.
     */
    int earlierExecutions() {
        return exchange.hop().map(ProxyHop::executions).orElse(0);
    }

    /**
     * Records that the request was not sent to an endpoint, as no connection to it opened.
     */
    void recordFailedConnect() {
        exchange.sends().recordNotSent();
        failedConnects++;
    }

    /**
     * Hands the request over if this daemon reaches no endpoint, another one does, and the request may run again. One
     * that another daemon has passed on stays here.
     *
     * @param executions  how many times it may have been executed
     * @param sequence    the events of its stream that the caller has
     * @param version     the software version that began its stream; empty if it has not begun
     * @return cancels the request at the other daemon; empty if it was not handed over
     */
    Optional<Cancellation> tryProxy(int executions, EventSequence sequence, Optional<SoftwareVersion> version) {
        boolean outOfReach = context.contacts().isLost(pool) || failedConnects >= MAX_FAILED_CONNECTS;
        long now = context.clockMillis().getAsLong();
        if (!outOfReach
                || exchange.hop().isPresent()
                || !mayRunAfter(executions)
                || exchange.remainingMillis(now) <= 0
                || !context.proxies().isAvailable(pool, daemonDomains())
                || !exchange.sends().tryReserve(1, false, now)) {
            return Optional.empty();
        }
        exchange.sends().recordSend();
        ProxyHop hop = new ProxyHop(configuration, executions, true, version);
        return Optional.of(ProxiedRun.start(context, exchange, pool, hop, sequence));
    }

    private Predicate<FailureDomain> daemonDomains() {
        return context.daemonDomains(Homes.of(exchange.route(), exchange.account()));
    }

    private boolean mayRunAfter(int executions) {
        boolean repeatable =
                exchange.route().kind() == RequestKind.SAFE || exchange.route().resumable();
        return executions == 0 || repeatable && executions < exchange.route().maxEndpoints();
    }
}
