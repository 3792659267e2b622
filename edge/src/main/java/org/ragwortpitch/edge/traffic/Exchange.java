package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.lang.System.Logger;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.edge.front.CallerAnswer;
import org.ragwortpitch.edge.front.CallerRequest;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.suspect.Fingerprint;

/**
 * A request that was let in: what it is, how long it has, and its answer, which ends it. Confined to the traffic
 * thread.
 */
final class Exchange {

    private static final Logger LOGGER = System.getLogger(Exchange.class.getName());

    /** An answer that starts this much before the caller's deadline still reaches it, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 15;

    /** The last rank that engines know. */
    private static final int LEAST_URGENT = 9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final TrafficParts parts;
    private final CallerRequest request;
    private final CallerAnswer answer;
    private final String attemptId;
    private final Route route;
    private final Optional<AccountSpec> account;
    private final long tokens;
    private final long deadlineMillis;
    private final boolean endsAtRoute;
    private String path = "";
    private long firstMillis;
    private long lastPieceMillis;
    private long longestGapMillis;
    private int sends;
    private Fingerprint fingerprint;
    private boolean counted;
    private boolean begun;
    private boolean done;
    private Runnable whenDone = () -> {};

    Exchange(
            TrafficParts parts,
            CallerRequest request,
            CallerAnswer answer,
            String attemptId,
            Route route,
            Optional<AccountSpec> account,
            long tokens,
            long callerMillis) {
        this.parts = parts;
        this.request = request;
        this.answer = answer;
        this.attemptId = attemptId;
        this.route = route;
        this.account = account;
        this.tokens = tokens;
        this.endsAtRoute = callerMillis - ANSWER_MARGIN_MILLIS > route.timeoutMillis();
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

    CallerAnswer answer() {
        return answer;
    }

    boolean isDone() {
        return done;
    }

    boolean isBegun() {
        return begun;
    }

    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /**
     * Runs something once the exchange has ended, however it does.
     */
    void whenDone(Runnable action) {
        whenDone = action;
    }

    /**
     * Makes the request for an endpoint.
     */
    OutboundRequest outbound(EndpointState target, long nowMillis) {
        HttpHeaders headers = ForwardHeaders.ofRequest(request.headers());
        headers.set(Headers.TARGET, target.endpoint().id().value());
        headers.set(Headers.DEADLINE, Math.max(1, remainingMillis(nowMillis)));
        account.ifPresent(known -> headers.set(Headers.ACCOUNT, known.id().value()));
        sends++;
        path = path + (path.isEmpty() ? "" : ",") + target.endpoint().id();
        return new OutboundRequest(request.method(), request.target(), headers, request.body(), attemptId);
    }

    /**
     * Makes the request for an engine, with how urgent it is there: the account goes before the route.
     */
    OutboundRequest urgent(EndpointState target, long nowMillis) {
        OutboundRequest request = outbound(target, nowMillis);
        int urgency =
                account.map(AccountSpec::urgency).orElse(OptionalInt.empty()).orElse(route.urgency());
        request.headers().set(Headers.URGENCY, Math.max(0, Math.min(LEAST_URGENT, urgency)));
        return request;
    }

    /**
     * Counts the request as begun to run, once.
     */
    void ran() {
        if (!counted) {
            counted = true;
            account.ifPresent(
                    known -> parts.usage().began(known.id(), parts.wallMillis().getAsLong()));
        }
    }

    /**
     * Notes that an endpoint broke off while it ran the request.
     */
    void crashed() {
        // Requests without a body are alike too often to be told apart.
        if (request.body().isReadable()) {
            parts.suspects()
                    .crashed(fingerprint(), attemptId, parts.clockMillis().getAsLong());
        }
    }

    /**
     * Tells whether the request has crashed too many endpoints to be run again.
     */
    boolean isSuspect() {
        return request.body().isReadable()
                && parts.suspects().isRefused(fingerprint(), parts.clockMillis().getAsLong());
    }

    private Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = Suspects.fingerprint(request);
        }
        return fingerprint;
    }

    /**
     * Passes an endpoint's whole answer on.
     */
    void pass(int status, HttpHeaders headers, ByteBuf body) {
        if (finish("passed", status, "")) {
            ranWell();
            answer.whole(status, ForwardHeaders.ofAnswer(headers), body);
        }
    }

    /**
     * Begins to pass a stream on.
     */
    void begin(int status, HttpHeaders headers) {
        begun = true;
        firstMillis = parts.clockMillis().getAsLong() - request.arrivedMillis();
        HttpHeaders forwarded = ForwardHeaders.ofAnswer(headers);
        answer.begin(status, forwarded);
    }

    /**
     * Passes a piece of a stream on.
     */
    void piece(byte[] bytes) {
        long now = parts.clockMillis().getAsLong();
        longestGapMillis = Math.max(longestGapMillis, lastPieceMillis == 0 ? 0 : now - lastPieceMillis);
        lastPieceMillis = now;
        answer.piece(Unpooled.wrappedBuffer(bytes));
    }

    /**
     * Ends a stream that was passed on whole.
     */
    void endStream() {
        if (finish("streamed", HttpResponseStatus.OK.code(), "")) {
            ranWell();
            answer.end();
        }
    }

    private void ranWell() {
        if (fingerprint != null) {
            parts.suspects().finished(fingerprint, parts.clockMillis().getAsLong());
        }
    }

    /**
     * Refuses a request that has not run and won't.
     *
     * @param retryAfterMillis when the caller may come back, in milliseconds
     */
    void refuse(int status, long retryAfterMillis, String reason) {
        if (finish("refused", status, reason)) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryAfterMillis > 0) {
                headers.set(
                        Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
            }
            answer.whole(status, headers, text(reason));
        }
    }

    /**
     * Ends a request that isn't sent again.
     *
     * @param mayHaveRun       whether an endpoint may have run it
     * @param retryAfterMillis when the caller may come back if it has not run, in milliseconds
     */
    void giveUp(boolean mayHaveRun, long retryAfterMillis, String reason) {
        if (mayHaveRun) {
            fail(HttpResponseStatus.BAD_GATEWAY.code(), reason);
        } else {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), retryAfterMillis, reason);
        }
    }

    /**
     * Gives up a request that may have run: with an error, or by breaking off a stream.
     */
    void fail(int status, String reason) {
        if (!finish(begun ? "broken-off" : "failed", status, reason)) {
            return;
        }
        if (begun) {
            answer.abort();
        } else {
            answer.whole(status, new DefaultHttpHeaders(), text(reason));
        }
    }

    /**
     * Notes that the caller has left.
     */
    void callerLeft() {
        finish("caller-left", 0, "");
    }

    /**
     * Tells whether the route's time ends before the caller's.
     */
    boolean endsAtRoute() {
        return endsAtRoute;
    }

    private boolean finish(String outcome, int status, String reason) {
        if (done) {
            return false;
        }
        done = true;
        if (!counted) {
            account.ifPresent(known -> parts.accounts().giveBack(known.id(), tokens));
        }
        long tookMillis = parts.clockMillis().getAsLong() - request.arrivedMillis();
        Event event = Event.of("answer")
                .with("request", attemptId)
                .with("outcome", outcome)
                .with("status", status)
                .with("route", route.id())
                .with("millis", tookMillis)
                .with("first-millis", firstMillis)
                .with("longest-gap-millis", longestGapMillis)
                .with("target", route.targetMillis() + "+" + route.targetGapMillis())
                .with("sends", sends)
                .with("endpoints", path.isEmpty() ? "-" : path);
        (reason.isEmpty() ? event : event.with("reason", reason)).info(LOGGER);
        parts.metrics().answered(route, outcome, tookMillis);
        whenDone.run();
        return true;
    }

    private static ByteBuf text(String reason) {
        return Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8);
    }
}
