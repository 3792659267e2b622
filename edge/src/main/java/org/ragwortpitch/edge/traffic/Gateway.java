package org.ragwortpitch.edge.traffic;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.EngineCodec;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.contact.ServingPlan;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.draining.DrainWindow;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.edge.front.CallerResponse;
import org.ragwortpitch.edge.front.RequestHandler;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.Region;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.placement.EngineChooser;

/**
 * Admits or refuses each request of a caller: finds its route and account, checks the key and the token rate, and
 * starts the request on a pool. Confined to the traffic thread.
 */
public final class Gateway implements RequestHandler {

    private static final Logger LOGGER = System.getLogger(Gateway.class.getName());

    private static final int BAD_REQUEST = 400;

    private static final int UNAUTHORIZED = 401;

    private static final int NOT_FOUND = 404;

    private static final int TOO_MANY = 429;

    private static final int UNAVAILABLE = 503;

    /** Room for the headers that a daemon adds to a request which it passes on. */
    private static final int PROXY_HEADER_BYTES = 1_024;

    private static final String BEARER_PREFIX = "bearer ";

    /** Retry-After while no configuration is loaded, in milliseconds; a daemon loads it in about 0.3 s. */
    private static final long UNCONFIGURED_RETRY_MILLIS = 400;

    /** Retry-After of a daemon that shuts down, in milliseconds: other daemons can take the request at once. */
    private static final long DRAIN_RETRY_MILLIS = 100;

    private final TrafficContext context;
    private final AccountRateLimits accounts;
    private final EngineChooser chooser;
    private final BufferingHttpCaller caller;
    private final WaitingGenerations waiting;
    private Deployment deployment;
    private DrainWindow drainWindow;

    /**
     * Creates a gateway without a configuration; it refuses all requests until {@link #apply}.
     */
    public Gateway(TrafficContext context, BufferingHttpCaller caller) {
        this.context = context;
        this.accounts = context.accounts();
        this.caller = caller;
        this.chooser = new EngineChooser(context.domain());
        this.waiting = new WaitingGenerations(context);
    }

    /**
     * Puts a new version of the configuration in force.
     */
    public void apply(Deployment next) {
        deployment = next;
        accounts.apply(next, context.clockMillis().getAsLong());
        waiting.reconsider();
    }

    /**
     * Examines the requests that wait for an engine, as gossip may tell of room.
     */
    public void onGossip() {
        waiting.onGossip();
    }

    /**
     * Returns the version in force; empty if none is loaded yet.
     */
    public Optional<Deployment> deployment() {
        return Optional.ofNullable(deployment);
    }

    /**
     * Returns all regions that may serve requests to a host; empty if not all of its routes have homes.
     */
    public Set<Region> homesOfHost(String host) {
        return deployment == null ? Set.of() : deployment.homesOfHost(host);
    }

    /**
     * Returns the limits on requests of callers; defaults until a configuration is loaded.
     */
    public CallerLimits limits() {
        return deployment == null ? CallerLimits.DEFAULT : deployment.limits();
    }

    /**
     * Returns the limits on requests that other daemons pass on, which have a header more.
     */
    public CallerLimits limitsOfProxied() {
        CallerLimits now = limits();
        return new CallerLimits(
                now.maxHeaderBytes() + PROXY_HEADER_BYTES,
                now.maxBodyBytes(),
                now.headerTimeoutMillis(),
                now.idleTimeoutMillis());
    }

    /**
     * Admits from now on only requests that end before the process does.
     */
    public void drain(DrainWindow window) {
        drainWindow = window;
    }

    @Override
    public Cancellation handle(CallerRequest request, CallerResponse response) {
        return handle(request, response, Optional.empty());
    }

    /**
     * Handles a request that another daemon can't serve; declines it if this one can't either.
     */
    public Cancellation handleProxied(CallerRequest request, CallerResponse response) {
        Optional<ProxyHop> hop = ProxyHop.decode(request.headers().get(ProxyHop.HEADER));
        request.headers().remove(ProxyHop.HEADER);
        String attemptId = request.headers().get(Headers.ATTEMPT);
        if (hop.isEmpty()) {
            return refuse(attemptId, response, BAD_REQUEST, 0, "the header " + ProxyHop.HEADER + " can't be read");
        }
        if (deployment == null || deployment.version() < hop.get().configuration()) {
            return decline(attemptId, response, "the configuration here is older than the sender's");
        }
        return handle(request, response, hop);
    }

    private Cancellation handle(CallerRequest request, CallerResponse response, Optional<ProxyHop> hop) {
        String attemptId = request.headers().get(Headers.ATTEMPT);
        if (deployment == null) {
            return refuse(
                    attemptId,
                    response,
                    UNAVAILABLE,
                    UNCONFIGURED_RETRY_MILLIS,
                    "no configuration is loaded yet: retry after the stated time");
        }
        if (attemptId == null || attemptId.isEmpty()) {
            return refuse(attemptId, response, BAD_REQUEST, 0, "the request has no attempt id: send one");
        }
        Optional<Route> route = deployment.route(host(request), request.path());
        if (route.isEmpty()) {
            return refuse(
                    attemptId,
                    response,
                    NOT_FOUND,
                    0,
                    "no route matches the host and path of the request: check both against the configured routes");
        }
        Optional<AccountSpec> account = account(request);
        if (deployment.requiresApiKeys() && !route.get().open() && account.isEmpty()) {
            return refuse(
                    attemptId,
                    response,
                    UNAUTHORIZED,
                    0,
                    "no valid API key: send a key that is in force in the header Authorization, as a bearer token");
        }
        try {
            Optional<Generation> generation = EngineCodec.generation(
                    request.headers().get(Headers.TOKENS), request.headers().get(Headers.PREFIX_BLOCKS));
            return admit(request, response, route.get(), account, generation, hop);
        } catch (CodecException exception) {
            return refuse(attemptId, response, BAD_REQUEST, 0, exception.getMessage());
        }
    }

    private Cancellation admit(
            CallerRequest request,
            CallerResponse response,
            Route route,
            Optional<AccountSpec> account,
            Optional<Generation> generation,
            Optional<ProxyHop> hop) {
        String attemptId = request.headers().get(Headers.ATTEMPT);
        long now = context.clockMillis().getAsLong();
        long limitMillis = Math.min(callerMillis(request, route), route.timeoutMillis());
        if (drainWindow != null && !drainWindow.accepts(limitMillis, now)) {
            return refuseStopping(attemptId, response, hop.isPresent());
        }
        PoolId pool = route.choosePool(attemptId.hashCode());
        boolean lost = context.contacts().isLost(pool);
        Homes homes = Homes.of(route, account);
        boolean passable = lost && context.proxies().isAvailable(pool, context.daemonDomains(homes));
        ServingPlan plan = ServingPlan.of(lost, hop.isPresent(), passable);
        if (plan == ServingPlan.NOBODY) {
            return refuseOutOfReach(attemptId, response, pool, homes, hop.isPresent());
        }
        boolean charged =
                plan == ServingPlan.BY_PEER || hop.map(ProxyHop::charged).orElse(false);
        long tokens = charged ? 0 : quotaTokens(account, generation);
        long waitMillis = charged
                ? 0
                : account.map(spec -> accounts.spend(spec.id(), tokens, now)).orElse(0L);
        if (waitMillis > 0) {
            String reason = "account " + account.get().id() + " exceeded its token rate";
            return refuse(attemptId, response, TOO_MANY, waitMillis, reason);
        }
        Exchange exchange = new Exchange(
                context,
                request,
                response,
                attemptId,
                route,
                account,
                tokens,
                callerMillis(request, route),
                generation.map(Generation::sharedParts).orElse(List.of()),
                new RequestSends(context.retryBudgets(), pool),
                hop);
        return plan == ServingPlan.HERE ? start(exchange, generation, now) : passOn(exchange, pool);
    }

    private static long quotaTokens(Optional<AccountSpec> account, Optional<Generation> generation) {
        return generation
                .map(Generation::quotaTokens)
                .orElse(account.map(AccountSpec::defaultRequestTokens).orElse(0L));
    }

    private Cancellation passOn(Exchange exchange, PoolId pool) {
        ProxyHop hop = new ProxyHop(deployment.version(), 0, false, Optional.empty());
        return ProxiedRun.startAtArrival(context, exchange, pool, hop);
    }

    private Cancellation start(Exchange exchange, Optional<Generation> generation, long now) {
        Pool pool = deployment.pool(exchange.sends().pool()).orElse(null);
        if (pool == null) {
            exchange.refuse(
                    UNAVAILABLE,
                    UNCONFIGURED_RETRY_MILLIS,
                    "the pool of the route is not configured: add it or change the route");
            return Cancellation.NONE;
        }
        Optional<String> poisonReason = exchange.poisonReason();
        if (poisonReason.isPresent()) {
            exchange.refuse(UNAVAILABLE, 0, poisonReason.get());
            return Cancellation.NONE;
        }
        if (!exchange.hop().map(ProxyHop::counted).orElse(false)) {
            context.retryBudgets().recordRequest(pool.id(), now);
        }
        ProxyFallback fallback = new ProxyFallback(context, exchange, pool.id(), deployment.version());
        if (pool.engine().isPresent() && generation.isPresent()) {
            GenerationRun run = new GenerationRun(
                    context, chooser, caller, exchange, pool.id(), generation.get(), waiting, fallback);
            run.start();
            return run;
        }
        ServiceRun run = new ServiceRun(context, exchange, pool.id(), fallback);
        run.start();
        return run;
    }

    private Cancellation refuseStopping(String attemptId, CallerResponse response, boolean passedOn) {
        return passedOn
                ? decline(attemptId, response, "daemon is stopping")
                : refuse(attemptId, response, UNAVAILABLE, DRAIN_RETRY_MILLIS, "daemon is stopping: use another one");
    }

    private Cancellation refuseOutOfReach(
            String attemptId, CallerResponse response, PoolId pool, Homes homes, boolean passedOn) {
        if (passedOn) {
            return decline(attemptId, response, "this daemon reaches no endpoint of pool " + pool + " either");
        }
        return refuse(
                attemptId,
                response,
                UNAVAILABLE,
                ProxiedRun.RETRY_AFTER_MILLIS,
                "no daemon in reach has contact with an endpoint of pool " + pool + ": retry later" + homes.describe());
    }

    /**
     * Declines a request of another daemon, which may pass it to a third one.
     */
    private Cancellation decline(String attemptId, CallerResponse response, String reason) {
        Event.of("declined")
                .with("request", attemptId)
                .with("version", deployment == null ? "-" : deployment.version())
                .with("reason", reason)
                .info(LOGGER);
        response.sendFull(
                UNAVAILABLE,
                new DefaultHttpHeaders().set(ProxyHop.DECLINED, 1),
                Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
        return Cancellation.NONE;
    }

    private Cancellation refuse(
            String attemptId, CallerResponse response, int status, long retryAfterMillis, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMillis > 0) {
            headers.set(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterMillis / 1_000.0));
        }
        Event.of("answer")
                .with("request", attemptId)
                .with("outcome", "refused")
                .with("status", status)
                .with("version", deployment == null ? "-" : deployment.version())
                .with("reason", reason)
                .info(LOGGER);
        context.metrics().recordRefusal(status);
        response.sendFull(status, headers, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
        return Cancellation.NONE;
    }

    private Optional<AccountSpec> account(CallerRequest request) {
        String header = request.headers().get(Headers.AUTHORIZATION);
        if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        return deployment.accountByApiKey(
                header.substring(BEARER_PREFIX.length()).trim());
    }

    private static long callerMillis(CallerRequest request, Route route) {
        String sent = request.headers().get(Headers.DEADLINE);
        return sent != null && sent.matches("\\d{1,12}") ? Long.parseLong(sent) : route.timeoutMillis();
    }

    private static String host(CallerRequest request) {
        String host = request.headers().get("host");
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
