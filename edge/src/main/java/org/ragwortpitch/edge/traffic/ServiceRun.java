package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.deployment.RequestKind;
import org.ragwortpitch.edge.http.CallFailure;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundSend;
import org.ragwortpitch.edge.http.ResponseBody;
import org.ragwortpitch.edge.http.ResponseListener;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * Runs one request on a plain service, and retries it on another endpoint within the retry budget if the first one
 * fails and the request is safe to repeat. Responses are buffered and forwarded only when complete, so that a truncated
 * one never looks complete. Confined to the traffic thread.
 */
final class ServiceRun implements Cancellation {

    private static final Logger LOGGER = System.getLogger(ServiceRun.class.getName());

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private static final int BAD_GATEWAY = 502;

    private static final int UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    /** Sends of one request, refused ones included; further sends rarely find a free slot. */
    private static final int MAX_SENDS = 4;

    /** A safe request is retried on another endpoint after this multiple of its latency target without a response. */
    private static final int STALL_TARGETS = 4;

    /** Retry-After of a refusal, in milliseconds: a few times the service time of a request, which frees slots. */
    private static final long RETRY_AFTER_MILLIS = 150;

    /** Pause before the next request to an endpoint that refused one, in milliseconds: about one service time. */
    private static final long REFUSAL_PAUSE_MILLIS = 25;

    /** Longest idle time of a connection that is reused for a request that must not be sent twice, in milliseconds. */
    private static final long MAX_UNSAFE_IDLE_MILLIS = 2_000;

    /** Cost of a send to another failure domain, in running requests of an endpoint. */
    private static final double CROSS_DOMAIN_PENALTY_REQUESTS = 4;

    private static final String NONE_AVAILABLE =
            "no endpoint of the pool is available: none is listed, or all are leaving, asked for rest or are at the"
                    + " rate limit that they state; retry later";

    private final TrafficContext context;
    private final Exchange exchange;
    private final PoolId pool;
    private final ProxyFallback fallback;
    private final Set<EndpointId> tried = new HashSet<>();
    private final Homes homes;
    private final EndpointScope scope;
    private int sends;
    private boolean passedOn;
    private int executions;
    private Cancellation currentSend = Cancellation.NONE;
    private Attempt current;

    /**
     * Prepares a run; {@link #start()} starts it.
     *
     * @param fallback used once this daemon reaches no endpoint
     */
    ServiceRun(TrafficContext context, Exchange exchange, PoolId pool, ProxyFallback fallback) {
        this.context = context;
        this.exchange = exchange;
        this.pool = pool;
        this.fallback = fallback;
        this.executions = fallback.earlierExecutions();
        this.homes = Homes.of(exchange.route(), exchange.account());
        this.scope = new EndpointScope(tried, context.regions().endpointDomains(homes));
    }

    void start() {
        long now = now();
        ScheduledFuture<?> deadline = context.loop()
                .schedule(this::onDeadline, Math.max(1, exchange.remainingMillis(now)), TimeUnit.MILLISECONDS);
        Cancellation lossListener = context.contacts().onLoss(pool, this::onContactLost);
        exchange.whenDone(() -> {
            deadline.cancel(false);
            lossListener.cancel();
            if (current != null) {
                current.finish();
            }
        });
        send(now);
    }

    /**
     * Passes the request on if it was not sent yet, or may be sent again.
     */
    private void onContactLost() {
        if (current == null || current.ended || exchange.isDone()) {
            return;
        }
        if (!current.send.hasBegun()) {
            current.send.cancel();
            current.finish();
            fallback.recordFailedConnect();
            retryOrGiveUp("contact with the pool was lost before the request was sent");
        } else if (mayStall()) {
            current.onStall();
        }
    }

    private boolean mayStall() {
        return exchange.route().kind() == RequestKind.SAFE
                && executions + 1 < exchange.route().maxEndpoints();
    }

    /**
     * Lets another daemon serve the request, if this one reaches no endpoint and another does.
     */
    private boolean passOn() {
        Optional<Cancellation> elsewhere =
                fallback.tryProxy(executions, new EventSequence(StreamEvent.NO_ID), Optional.empty());
        elsewhere.ifPresent(proxied -> {
            currentSend = proxied;
            passedOn = true;
        });
        return passedOn;
    }

    @Override
    public void cancel() {
        currentSend.cancel();
        exchange.recordCallerLeft();
    }

    private void send(long now) {
        if (passOn()) {
            return;
        }
        Optional<EndpointState> choice = choose(now);
        if (choice.isEmpty()) {
            String reason = tried.isEmpty()
                    ? context.endpoints().coldReason(pool, now).orElse(NONE_AVAILABLE)
                    : "every available endpoint of the pool was already tried";
            exchange.failOrRefuse(
                    executions > 0,
                    context.endpoints().retryAfterMillis(pool, RETRY_AFTER_MILLIS, now),
                    reason + context.endpoints().evacuationNote(pool) + homes.describe());
            return;
        }
        EndpointState target = choice.get();
        target.health().sent(now);
        context.endpoints().recordSent(target.endpoint().id(), now);
        target.beginRequest();
        tried.add(target.endpoint().id());
        sends++;
        boolean retryable = exchange.route().kind() == RequestKind.SAFE;
        Attempt attempt = new Attempt(target, now);
        current = attempt;
        attempt.send = context.connections()
                .send(
                        target.endpoint().address(),
                        exchange.outbound(target, now),
                        retryable ? Long.MAX_VALUE : MAX_UNSAFE_IDLE_MILLIS,
                        attempt);
        currentSend = attempt.send;
        if (mayStall()) {
            long stallMillis =
                    (long) STALL_TARGETS * Math.max(1, exchange.route().targetMillis());
            attempt.stallTimer = context.loop().schedule(attempt::onStall, stallMillis, TimeUnit.MILLISECONDS);
        }
    }

    private Optional<EndpointState> choose(long now) {
        List<EndpointState> usable = context.endpoints().usable(pool, scope, now);
        return usable.stream().min(Comparator.comparingDouble(this::load));
    }

    private double load(EndpointState state) {
        boolean sameDomain = state.endpoint().domain().equals(context.domain());
        return state.running() + (sameDomain ? 0 : CROSS_DOMAIN_PENALTY_REQUESTS);
    }

    private void retryOrGiveUp(String reason) {
        Optional<String> poisonReason = exchange.poisonReason();
        if (poisonReason.isPresent()) {
            exchange.failOrRefuse(executions > 0, 0, poisonReason.get());
            return;
        }
        if (passOn()) {
            return;
        }
        long now = now();
        boolean allowed = sends < MAX_SENDS
                && exchange.remainingMillis(now) > 0
                && exchange.sends().tryReserve(1, false, now);
        logRetry(reason, allowed, now);
        if (allowed) {
            send(now);
        } else {
            exchange.failOrRefuse(executions > 0, RETRY_AFTER_MILLIS, reason);
        }
    }

    private void logRetry(String reason, boolean allowed, long now) {
        Event event = Event.of("send-again")
                .with("request", exchange.attemptId())
                .with("reason", reason)
                .with("allowed", allowed);
        context.retryBudgets().describe(event, pool, now).info(LOGGER);
    }

    private void onDeadline() {
        currentSend.cancel();
        if (executions == 0 && sends == 0 && !passedOn) {
            exchange.refuse(
                    UNAVAILABLE,
                    RETRY_AFTER_MILLIS,
                    "the request was not sent to any endpoint before its deadline; retry later");
        } else {
            exchange.fail(
                    GATEWAY_TIMEOUT, "no response within the deadline of the request and the timeout of the route");
        }
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }

    /**
     * One send of the request to one endpoint.
     */
    private final class Attempt implements ResponseListener {

        private final EndpointState target;
        private final long sentMillis;
        private final ResponseBody body = new ResponseBody();
        private OutboundSend send;
        private ScheduledFuture<?> stallTimer;
        private boolean ended;
        private int status;
        private HttpHeaders headers;

        Attempt(EndpointState target, long sentMillis) {
            this.target = target;
            this.sentMillis = sentMillis;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = newHeaders;
            target.recordStatedLimit(newStatus, newHeaders, sentMillis, now());
            exchange.recordResponse(target, sentMillis);
        }

        @Override
        public void onContent(ByteBuf content) {
            body.append(content);
        }

        @Override
        public long bufferedBytes() {
            return body.length();
        }

        @Override
        public void onEnd(boolean framed) {
            finish();
            if (exchange.isDone()) {
                return;
            }
            if (headers.contains(Headers.NOT_EXECUTED)) {
                target.health().refused(REFUSAL_PAUSE_MILLIS, now());
                retryOrGiveUp("endpoint refused the request before execution: status " + status);
                return;
            }
            executions++;
            exchange.recordExecution();
            if (status < MIN_NON_SUCCESS_STATUS && !headers.contains(Headers.SEAL)) {
                rejectUnsealedResponse();
                return;
            }
            boolean error = status >= MIN_SERVER_ERROR_STATUS;
            if (error) {
                target.health().failed(false, now());
            } else {
                target.health().succeeded();
                context.metrics().recordEndpointAnswer(now() - sentMillis);
            }
            if (error && mayRunOnAnotherEndpoint()) {
                retryOrForwardError(status, headers, body.content());
            } else {
                exchange.forwardResponse(status, headers, body.content());
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            finish();
            target.health().failed(!failure.sent(), now());
            if (exchange.isDone()) {
                return;
            }
            if (!failure.sent()) {
                fallback.recordFailedConnect();
                retryOrGiveUp("request not sent to the endpoint: " + failure.reason());
                return;
            }
            executions++;
            exchange.recordExecution();
            exchange.recordCrash(target, headers != null, headers == null);
            if (mayRunOnAnotherEndpoint()) {
                retryOrGiveUp("no complete response from the endpoint: " + failure.reason());
            } else {
                exchange.fail(BAD_GATEWAY, "no complete response from the endpoint: " + failure.reason());
            }
        }

        /**
         * Discards a success response without a seal, which no endpoint of the system produced.
         */
        private void rejectUnsealedResponse() {
            target.health().failed(false, now());
            if (mayRunOnAnotherEndpoint()) {
                retryOrGiveUp("success status without a response seal");
            } else {
                exchange.fail(BAD_GATEWAY, "success status without a response seal");
            }
        }

        private void onStall() {
            if (ended
                    || exchange.isDone()
                    || exchange.poisonReason().isPresent()
                    || !exchange.sends().tryReserve(1, false, now())) {
                return;
            }
            currentSend.cancel();
            finish();
            executions++;
            exchange.recordExecution();
            target.health().failed(true, now());
            logRetry(
                    "no response from " + target.endpoint().id() + " for " + (now() - sentMillis) + " ms", true, now());
            send(now());
        }

        /**
         * Retries a request that an endpoint answered with a server error, or forwards the error if it can't.
         */
        private void retryOrForwardError(int errorStatus, HttpHeaders errorHeaders, ByteBuf errorBody) {
            long now = now();
            if (sends < MAX_SENDS
                    && choose(now).isPresent()
                    && exchange.poisonReason().isEmpty()
                    && exchange.sends().tryReserve(1, false, now)) {
                send(now);
            } else {
                exchange.forwardResponse(errorStatus, errorHeaders, errorBody);
            }
        }

        private boolean mayRunOnAnotherEndpoint() {
            return exchange.route().kind() == RequestKind.SAFE
                    && executions < exchange.route().maxEndpoints();
        }

        private void finish() {
            if (!ended) {
                ended = true;
                target.endRequest();
                if (stallTimer != null) {
                    stallTimer.cancel(false);
                }
            }
        }
    }
}
