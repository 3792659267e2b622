package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.lang.System.Logger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.edge.front.CallerResponse;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.poison.CrashCause;
import org.ragwortpitch.refusal.RefusalStatus;

/**
 * One admitted request of a caller with its deadline and its response, which ends the exchange. Confined to the traffic
 * thread.
 */
final class Exchange {

    private static final Logger LOGGER = System.getLogger(Exchange.class.getName());

    /** Time reserved to deliver a response before the caller's deadline, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 15;

    /** Engines accept priorities from 0, the most urgent, to this one. */
    private static final int LOWEST_PRIORITY = 9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    private final TrafficContext context;
    private final CallerRequest request;
    private final CallerResponse response;
    private final String attemptId;
    private final Route route;
    private final Optional<AccountSpec> account;
    private final long tokens;
    private final long deadlineMillis;
    private final long callerDeadlineMillis;
    private final boolean limitedByRouteTimeout;
    private final AnswerLog answerLog = new AnswerLog();
    private final RequestSends sends;
    private final Optional<ProxyHop> hop;
    private final List<PrefixBlock> prefixBlocks;
    private List<CrashCause> crashCauses;
    private boolean executionRecorded;
    private boolean streamBegun;
    private boolean done;
    private Runnable whenDone = () -> {};

    Exchange(
            TrafficContext context,
            CallerRequest request,
            CallerResponse response,
            String attemptId,
            Route route,
            Optional<AccountSpec> account,
            long tokens,
            long callerMillis,
            List<PrefixBlock> prefixBlocks,
            RequestSends sends,
            Optional<ProxyHop> hop) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.attemptId = attemptId;
        this.route = route;
        this.account = account;
        this.tokens = tokens;
        this.prefixBlocks = prefixBlocks;
        this.sends = sends;
        this.hop = hop;
        this.limitedByRouteTimeout = callerMillis - ANSWER_MARGIN_MILLIS > route.timeoutMillis();
        this.callerDeadlineMillis = request.arrivedMillis() + callerMillis;
        this.deadlineMillis =
                request.arrivedMillis() + Math.min(callerMillis - ANSWER_MARGIN_MILLIS, route.timeoutMillis());
    }

    Route route() {
        return route;
    }

    Optional<AccountSpec> account() {
        return account;
    }

    String attemptId() {
        return attemptId;
    }

    CallerRequest request() {
        return request;
    }

    CallerResponse response() {
        return response;
    }

    boolean isDone() {
        return done;
    }

    /**
     * Returns what the daemon that passed the request on tells; empty if its caller sent it here.
     */
    Optional<ProxyHop> hop() {
        return hop;
    }

    boolean isStreamBegun() {
        return streamBegun;
    }

    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /**
     * Returns when the caller stops waiting, which may be after the deadline of this exchange.
     */
    long callerDeadlineMillis() {
        return callerDeadlineMillis;
    }

    /**
     * Sets the action that runs once when the exchange ends, whatever its outcome.
     */
    void whenDone(Runnable action) {
        whenDone = action;
    }

    /**
     * Builds the request to send to an endpoint, and counts it as a send.
     */
    OutboundRequest outbound(EndpointState target, long nowMillis) {
        HttpHeaders headers = ForwardHeaders.ofRequest(request.headers());
        headers.set(Headers.TARGET, target.endpoint().id().value());
        headers.set(Headers.DEADLINE, Math.max(1, remainingMillis(nowMillis)));
        account.ifPresent(known -> headers.set(Headers.ACCOUNT, known.id().value()));
        sends.recordSend();
        answerLog.recordSend(target.endpoint().id());
        return new OutboundRequest(
                request.method(), request.target(), headers, request.body(), attemptId, response::checkCaller);
    }

    /**
     * Builds the request to send to an engine; the priority of the account overrides that of the route.
     */
    OutboundRequest outboundToEngine(EndpointState target, long nowMillis) {
        OutboundRequest request = outbound(target, nowMillis);
        int priority =
                account.map(AccountSpec::priority).orElse(OptionalInt.empty()).orElse(route.priority());
        request.headers().set(Headers.PRIORITY, Math.max(0, Math.min(LOWEST_PRIORITY, priority)));
        return request;
    }

    /**
     * Returns the sends of the request to endpoints.
     */
    RequestSends sends() {
        return sends;
    }

    /**
     * Adds the request to the usage of the account when an endpoint has begun to execute it; later calls do nothing.
     */
    void recordExecution() {
        if (!executionRecorded) {
            executionRecorded = true;
            account.filter(known -> !hop.map(ProxyHop::charged).orElse(false)).ifPresent(known -> context.usage()
                    .increment(known.id(), context.wallMillis().getAsLong()));
        }
    }

    /**
     * Records that the connection to an endpoint broke while the endpoint executed the request.
     *
     * @param responded  whether the endpoint had begun to respond
     * @param mayBeCause whether the endpoint may have crashed on this request
     */
    void recordCrash(EndpointState target, boolean responded, boolean mayBeCause) {
        if (context.contacts().isLost(target.endpoint().pool())) {
            return;
        }
        context.poisonRequests()
                .recordCrash(
                        attemptId,
                        target.endpoint(),
                        responded,
                        mayBeCause ? crashCauses() : List.of(),
                        context.clockMillis().getAsLong());
    }

    /**
     * Records that an endpoint has begun to respond to the request.
     *
     * @param sentMillis when the request was sent, in milliseconds of the monotonic clock
     */
    void recordResponse(EndpointState target, long sentMillis) {
        context.poisonRequests()
                .recordResponse(
                        target.endpoint(), sentMillis, context.clockMillis().getAsLong());
    }

    /**
     * Returns why the request must not be sent to another endpoint, as it crashes those that execute it; empty if it
     * is not known to.
     */
    Optional<String> poisonReason() {
        return context.poisonRequests()
                .poisonIn(crashCauses(), context.clockMillis().getAsLong())
                .map(PoisonRequests::describe);
    }

    private List<CrashCause> crashCauses() {
        if (crashCauses == null) {
            String caller = account.map(known -> known.id().value())
                    .orElseGet(() -> String.valueOf(request.headers().get(Headers.AUTHORIZATION)));
            crashCauses = PoisonRequests.causes(caller, request, prefixBlocks);
        }
        return crashCauses;
    }

    /**
     * Forwards a complete response of an endpoint that may have executed the request, and ends the exchange. A status
     * that callers would take for a promise that it was not executed becomes one that promises nothing.
     */
    void forwardResponse(int status, HttpHeaders headers, ByteBuf body) {
        if (RefusalStatus.promisesNoExecution(status)) {
            failOrRefuse(true, 0, "status " + status + " of an endpoint that may have executed the request");
        } else if (finish("passed", status, "")) {
            if (status < MIN_NON_SUCCESS_STATUS) {
                recordSuccess();
            }
            response.sendFull(status, ForwardHeaders.ofResponse(headers), body);
        }
    }

    /**
     * Forwards the status and headers of a stream.
     */
    void beginStream(int status, HttpHeaders headers) {
        streamBegun = true;
        answerLog.recordFirstEvent(context.clockMillis().getAsLong() - request.arrivedMillis());
        HttpHeaders forwarded = ForwardHeaders.ofResponse(headers);
        response.beginStream(status, forwarded);
    }

    /**
     * Forwards bytes of a stream.
     */
    void forwardChunk(byte[] bytes) {
        answerLog.recordChunk(context.clockMillis().getAsLong());
        response.sendChunk(Unpooled.wrappedBuffer(bytes));
    }

    /**
     * Ends a stream that was forwarded completely.
     */
    void endStream() {
        if (finish("streamed", HttpResponseStatus.OK.code(), "")) {
            recordSuccess();
            response.endStream();
        }
    }

    /**
     * Forwards a complete response of another daemon and ends the exchange. A daemon's own refusals hold unless the
     * request may have been executed before it was passed on; the status of an endpoint promises nothing.
     *
     * @param mayHaveExecuted whether the request may have been executed before it was passed on
     */
    void forwardProxiedResponse(int status, HttpHeaders headers, ByteBuf body, boolean mayHaveExecuted) {
        if (RefusalStatus.promisesNoExecution(status) && (mayHaveExecuted || headers.contains(Headers.SEAL))) {
            failOrRefuse(true, 0, "status " + status + " of a daemon, after a possible execution");
        } else if (finish("proxied", status, "")) {
            response.sendFull(status, ForwardHeaders.ofResponse(headers), body);
        }
    }

    /**
     * Ends a stream of another daemon that was forwarded completely.
     */
    void endProxiedStream() {
        if (finish("proxied", HttpResponseStatus.OK.code(), "")) {
            response.endStream();
        }
    }

    /**
     * Adds a daemon that the request is passed on to, for the log.
     */
    void recordProxiedBy(InstanceId daemon) {
        answerLog.recordProxiedBy(daemon);
    }

    private void recordSuccess() {
        context.poisonRequests()
                .recordCompletion(crashCauses(), context.clockMillis().getAsLong());
    }

    /**
     * Refuses a request that was not executed.
     *
     * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 sends no Retry-After
     * @param reason           sent to the caller and logged
     */
    void refuse(int status, long retryAfterMillis, String reason) {
        if (finish("refused", status, reason)) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryAfterMillis > 0) {
                headers.set(
                        Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
            }
            response.sendFull(status, headers, text(reason));
        }
    }

    /**
     * Ends a request that is not retried: fails it if it may have been executed, and refuses it otherwise.
     *
     * @param retryAfterMillis time after which the caller of a refused request may retry, in milliseconds
     */
    void failOrRefuse(boolean mayHaveExecuted, long retryAfterMillis, String reason) {
        if (mayHaveExecuted) {
            fail(HttpResponseStatus.BAD_GATEWAY.code(), reason);
        } else {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), retryAfterMillis, reason);
        }
    }

    /**
     * Ends a request that may have been executed: with an error response, or by aborting a stream that has begun.
     */
    void fail(int status, String reason) {
        if (!finish(streamBegun ? "broken-off" : "failed", status, reason)) {
            return;
        }
        if (streamBegun) {
            response.abort();
        } else {
            response.sendFull(status, new DefaultHttpHeaders(), text(reason));
        }
    }

    /**
     * Ends the exchange because the caller has disconnected.
     */
    void recordCallerLeft() {
        finish("caller-left", 0, "");
    }

    /**
     * Returns whether the timeout of the route ends before the deadline of the caller.
     */
    boolean isLimitedByRouteTimeout() {
        return limitedByRouteTimeout;
    }

    private boolean finish(String outcome, int status, String reason) {
        if (done) {
            return false;
        }
        done = true;
        if (!executionRecorded) {
            account.ifPresent(known -> context.accounts().refund(known.id(), tokens));
        }
        long tookMillis = context.clockMillis().getAsLong() - request.arrivedMillis();
        Event event = Event.of("answer")
                .with("request", attemptId)
                .with("outcome", outcome)
                .with("status", status)
                .with("route", route.id())
                .with("millis", tookMillis);
        answerLog.describe(event, route, sends.repeats());
        (reason.isEmpty() ? event : event.with("reason", reason)).info(LOGGER);
        context.metrics().recordAnswer(route, outcome, tookMillis);
        context.metrics().recordRepeats(route, sends.repeats());
        sends.settle(context.clockMillis().getAsLong());
        whenDone.run();
        return true;
    }

    private static ByteBuf text(String reason) {
        return Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8);
    }
}
