package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.deployment.RequestKind;
import org.ragwortpitch.edge.http.Breakage;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.ResponseListener;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * Has a plain service answer a request, and another endpoint of it where the first fails and the request may be sent
 * again. Answers are passed on whole, so that a broken one never looks complete.
 */
final class ServiceRun implements Cancellation {

    private static final Logger LOGGER = System.getLogger(ServiceRun.class.getName());

    private static final int FIRST_ERROR = 300;

    private static final int SERVER_ERROR = 500;

    private static final int BAD_GATEWAY = 502;

    private static final int UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    /** How often a request that was refused unrun is offered elsewhere; further offers rarely find a free place. */
    private static final int MAX_SENDS = 4;

    /** A repeatable request is given up at a silent endpoint after this many times its target. */
    private static final int SILENCE_TARGETS = 4;

    /** Retry-After of a refusal, in milliseconds: a few times the work of a request, so that places are free again. */
    private static final long RETRY_AFTER_MILLIS = 150;

    /** How long an endpoint that refused a request gets no more, in milliseconds: about one request's work. */
    private static final long REFUSED_MILLIS = 25;

    /** How long an idle connection is used for a request that mustn't be sent twice, in milliseconds. */
    private static final long FRESH_MILLIS = 2_000;

    /** What a send to another failure domain weighs, in requests under way at an endpoint. */
    private static final double OTHER_DOMAIN_REQUESTS = 4;

    private final TrafficParts parts;
    private final Exchange exchange;
    private final PoolId pool;
    private final Set<EndpointId> tried = new HashSet<>();
    private int sends;
    private int ranAt;
    private Cancellation sent = Cancellation.NONE;
    private Attempt current;

    ServiceRun(TrafficParts parts, Exchange exchange, PoolId pool) {
        this.parts = parts;
        this.exchange = exchange;
        this.pool = pool;
    }

    void start() {
        long now = now();
        ScheduledFuture<?> deadline = parts.loop()
                .schedule(this::timedOut, Math.max(1, exchange.remainingMillis(now)), TimeUnit.MILLISECONDS);
        exchange.whenDone(() -> {
            deadline.cancel(false);
            if (current != null) {
                current.finish();
            }
        });
        send(now);
    }

    @Override
    public void cancel() {
        sent.cancel();
        exchange.callerLeft();
    }

    private void send(long now) {
        Optional<EndpointState> choice = choose(now);
        if (choice.isEmpty()) {
            exchange.giveUp(
                    ranAt > 0,
                    RETRY_AFTER_MILLIS,
                    tried.isEmpty() ? "no endpoint of the pool is listed" : "no other endpoint is left");
            return;
        }
        EndpointState target = choice.get();
        target.health().sent(now);
        target.begin();
        tried.add(target.endpoint().id());
        sends++;
        boolean repeatable = exchange.route().kind() == RequestKind.SAFE;
        Attempt attempt = new Attempt(target, now);
        current = attempt;
        sent = parts.connections()
                .send(
                        target.endpoint().address(),
                        exchange.outbound(target, now),
                        repeatable ? Long.MAX_VALUE : FRESH_MILLIS,
                        attempt);
        if (repeatable && ranAt + 1 < exchange.route().maxEndpoints()) {
            long silenceMillis =
                    (long) SILENCE_TARGETS * Math.max(1, exchange.route().targetMillis());
            attempt.timer = parts.loop().schedule(attempt::silent, silenceMillis, TimeUnit.MILLISECONDS);
        }
    }

    private Optional<EndpointState> choose(long now) {
        List<EndpointState> usable = parts.fleet().usable(pool, tried, now);
        return usable.stream().min(Comparator.comparingDouble(this::load));
    }

    private double load(EndpointState state) {
        boolean near = state.endpoint().domain().equals(parts.domain());
        return state.running() + (near ? 0 : OTHER_DOMAIN_REQUESTS);
    }

    private void retryOrGiveUp(String reason, boolean arrived) {
        long now = now();
        boolean allowed = sends < MAX_SENDS
                && exchange.remainingMillis(now) > 0
                && (!arrived || parts.repeats().tryRepeat(pool, 1, now));
        Event.of("send-again")
                .with("request", exchange.attemptId())
                .with("reason", reason)
                .with("allowed", allowed)
                .info(LOGGER);
        if (allowed) {
            send(now);
        } else {
            exchange.giveUp(ranAt > 0, RETRY_AFTER_MILLIS, reason);
        }
    }

    private void timedOut() {
        sent.cancel();
        if (ranAt == 0 && sends == 0) {
            exchange.refuse(UNAVAILABLE, RETRY_AFTER_MILLIS, "no endpoint in time");
        } else {
            exchange.fail(GATEWAY_TIMEOUT, "no answer in time");
        }
    }

    private long now() {
        return parts.clockMillis().getAsLong();
    }

    /**
     * One send to one endpoint.
     */
    private final class Attempt implements ResponseListener {

        private final EndpointState target;
        private final long sentMillis;
        private final ByteBuf body = Unpooled.buffer();
        private ScheduledFuture<?> timer;
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
        }

        @Override
        public void onContent(ByteBuf content) {
            body.writeBytes(content);
        }

        @Override
        public void onEnd(boolean framed) {
            finish();
            if (exchange.isDone()) {
                return;
            }
            if (headers.contains(Headers.NOT_RUN)) {
                target.health().refused(REFUSED_MILLIS, now());
                retryOrGiveUp("refused unrun with " + status, true);
                return;
            }
            ranAt++;
            exchange.ran();
            if (status < FIRST_ERROR && !headers.contains(Headers.SEAL)) {
                unsealed();
                return;
            }
            boolean error = status >= SERVER_ERROR;
            if (error) {
                target.health().failed(false, now());
            } else {
                target.health().succeeded();
                parts.metrics().endpointAnswered(now() - sentMillis);
            }
            if (error && mayRunElsewhere()) {
                pendingError(status, headers, body);
            } else {
                exchange.pass(status, headers, body);
            }
        }

        @Override
        public void onBroken(Breakage breakage) {
            finish();
            target.health().failed(!breakage.sent(), now());
            if (exchange.isDone()) {
                return;
            }
            if (!breakage.sent()) {
                retryOrGiveUp("not sent: " + breakage.reason(), false);
                return;
            }
            ranAt++;
            exchange.ran();
            exchange.crashed();
            if (mayRunElsewhere() && !exchange.isSuspect()) {
                retryOrGiveUp("broken: " + breakage.reason(), true);
            } else {
                exchange.fail(BAD_GATEWAY, "broken: " + breakage.reason());
            }
        }

        /**
         * Drops a success that no endpoint has signed.
         */
        private void unsealed() {
            target.health().failed(false, now());
            if (mayRunElsewhere()) {
                retryOrGiveUp("a success without a signature", true);
            } else {
                exchange.fail(BAD_GATEWAY, "a success without a signature");
            }
        }

        private void silent() {
            if (ended || exchange.isDone() || !parts.repeats().tryRepeat(pool, 1, now())) {
                return;
            }
            sent.cancel();
            finish();
            ranAt++;
            exchange.ran();
            target.health().failed(true, now());
            Event.of("send-again")
                    .with("request", exchange.attemptId())
                    .with("reason", "silent for " + (now() - sentMillis) + " ms")
                    .with("endpoint", target.endpoint().id())
                    .info(LOGGER);
            send(now());
        }

        /**
         * Sends a request elsewhere whose endpoint answered with an error of its own, or else passes the error on.
         */
        private void pendingError(int errorStatus, HttpHeaders errorHeaders, ByteBuf errorBody) {
            long now = now();
            if (sends < MAX_SENDS && choose(now).isPresent() && parts.repeats().tryRepeat(pool, 1, now)) {
                send(now);
            } else {
                exchange.pass(errorStatus, errorHeaders, errorBody);
            }
        }

        private boolean mayRunElsewhere() {
            return exchange.route().kind() == RequestKind.SAFE
                    && ranAt < exchange.route().maxEndpoints();
        }

        private void finish() {
            if (!ended) {
                ended = true;
                target.end();
                if (timer != null) {
                    timer.cancel(false);
                }
            }
        }
    }
}
