package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.contact.ProxyPeer;
import org.ragwortpitch.deployment.RequestKind;
import org.ragwortpitch.edge.http.CallFailure;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.edge.http.ResponseBody;
import org.ragwortpitch.edge.http.ResponseListener;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * Passes one request to a daemon that reaches the endpoints, and forwards its response. Another daemon gets the request
 * only if the one before declined it or was not reached. Confined to the traffic thread.
 */
final class ProxiedRun implements Cancellation, ResponseListener {

    private static final Logger LOGGER = System.getLogger(ProxiedRun.class.getName());

    /** Daemons that one request is passed to, one after the other. */
    private static final int MAX_PEERS = 3;

    /** Retry-After of a request that no daemon can serve, in milliseconds: about as long as contact takes to return. */
    static final long RETRY_AFTER_MILLIS = 300;

    /** Longest idle time of a connection to a daemon that is reused, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 2_000;

    private static final int OK = 200;

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    private static final int BAD_GATEWAY = 502;

    private static final int UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    private final TrafficContext context;
    private final Exchange exchange;
    private final PoolId pool;
    private final ProxyHop hop;
    private final EventSequence sequence;
    private final Set<InstanceId> asked = new HashSet<>();
    private final ResponseBody body = new ResponseBody();
    private ProxyPeer peer;
    private Cancellation currentSend = Cancellation.NONE;
    private int status;
    private HttpHeaders headers;
    private boolean streaming;
    private EventSplitter splitter = new EventSplitter();
    private StreamPart part;

    private ProxiedRun(TrafficContext context, Exchange exchange, PoolId pool, ProxyHop hop, EventSequence sequence) {
        this.context = context;
        this.exchange = exchange;
        this.pool = pool;
        this.hop = hop;
        this.sequence = sequence;
    }

    /**
     * Passes a request on that no endpoint has got yet, and refuses it if no daemon takes it.
     */
    static Cancellation startAtArrival(TrafficContext context, Exchange exchange, PoolId pool, ProxyHop hop) {
        String afterEvent = exchange.request().headers().get(Headers.LAST_EVENT);
        boolean takesUp = exchange.route().kind() == RequestKind.STREAM;
        EventSequence sequence = new EventSequence(takesUp ? StreamEvent.parseId(afterEvent) : StreamEvent.NO_ID);
        ProxiedRun run = new ProxiedRun(context, exchange, pool, hop, sequence);
        long remainingMillis = Math.max(1, exchange.remainingMillis(run.now()));
        ScheduledFuture<?> deadline = context.loop().schedule(run::onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
        exchange.whenDone(() -> {
            deadline.cancel(false);
            run.cancel();
        });
        run.passOn();
        return exchange::recordCallerLeft;
    }

    /**
     * Passes a request on whose deadline and end the caller of this method watches.
     *
     * @param sequence the events of its stream that the caller has
     */
    static Cancellation start(
            TrafficContext context, Exchange exchange, PoolId pool, ProxyHop hop, EventSequence sequence) {
        ProxiedRun run = new ProxiedRun(context, exchange, pool, hop, sequence);
        run.passOn();
        return run;
    }

    private void passOn() {
        Homes homes = Homes.of(exchange.route(), exchange.account());
        Optional<ProxyPeer> choice = asked.size() < MAX_PEERS
                ? context.proxies()
                        .choose(
                                pool,
                                context.daemonDomains(homes),
                                asked,
                                exchange.attemptId().hashCode())
                : Optional.empty();
        if (choice.isEmpty()) {
            exchange.failOrRefuse(
                    hop.executions() > 0,
                    RETRY_AFTER_MILLIS,
                    "no daemon in reach has contact with an endpoint of pool " + pool + ": retry later"
                            + homes.describe());
            return;
        }
        peer = choice.get();
        asked.add(peer.id());
        Event.of("proxied")
                .with("request", exchange.attemptId())
                .with("daemon", peer.id())
                .with("pool", pool)
                .with("executions", hop.executions())
                .with("after", sequence.lastId())
                .info(LOGGER);
        exchange.recordProxiedBy(peer.id());
        context.proxies().begin(peer);
        currentSend = context.proxies().connections().send(peer.address(), request(), MAX_IDLE_MILLIS, this);
    }

    private OutboundRequest request() {
        HttpHeaders forwarded =
                ForwardHeaders.ofProxiedRequest(exchange.request().headers());
        forwarded.set(Headers.DEADLINE, Math.max(1, exchange.remainingMillis(now())));
        forwarded.set(ProxyHop.HEADER, hop.encode());
        if (sequence.lastId() != StreamEvent.NO_ID) {
            forwarded.set(Headers.LAST_EVENT, sequence.lastId());
        }
        return new OutboundRequest(
                exchange.request().method(),
                exchange.request().target(),
                forwarded,
                exchange.request().body(),
                exchange.attemptId(),
                false,
                exchange.response()::checkCaller);
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
        part = null;
        if (sequence.hasBegun()) {
            continueStream(newStatus, newHeaders);
            return;
        }
        streaming = newStatus == OK && "chunked".equalsIgnoreCase(newHeaders.get("transfer-encoding"));
        if (streaming && !exchange.isDone()) {
            exchange.beginStream(newStatus, newHeaders);
        }
    }

    /**
     * Prepares for the part of the stream that follows what the caller has.
     */
    private void continueStream(int newStatus, HttpHeaders newHeaders) {
        part = sequence.part(StreamContent.of(newHeaders));
        splitter = new EventSplitter();
        streaming = newStatus == OK && newHeaders.contains(Headers.SEAL) && !part.isOtherContent();
    }

    @Override
    public void onContent(ByteBuf content) {
        if (!streaming) {
            body.append(content);
        } else if (!exchange.isDone()) {
            forward(content);
        }
    }

    private void forward(ByteBuf content) {
        if (part == null) {
            exchange.forwardChunk(ByteBufUtil.getBytes(content));
            return;
        }
        List<StreamEvent> added = part.add(splitter.feed(content));
        if (!added.isEmpty() && !exchange.isStreamBegun()) {
            exchange.beginStream(status, headers);
        }
        added.forEach(event -> exchange.forwardChunk(event.bytes()));
        if (part.fault().isPresent() || splitter.restBytes() > EngineStream.MAX_EVENT_BYTES) {
            cancel();
            exchange.fail(BAD_GATEWAY, "daemon sent something other than the rest of the stream");
        }
    }

    @Override
    public long bufferedBytes() {
        return body.length() + splitter.restBytes();
    }

    @Override
    public void onEnd(boolean framed) {
        finish();
        if (exchange.isDone()) {
            return;
        }
        if (isDeclined()) {
            body.clear();
            passOn();
        } else if (streaming && framed && endsStream()) {
            endStream();
        } else if (exchange.isStreamBegun() || !framed || streaming || isOtherSuccess()) {
            exchange.fail(BAD_GATEWAY, "daemon did not complete the response: status " + status);
        } else {
            exchange.forwardProxiedResponse(status, headers, body.content(), hop.executions() > 0);
        }
    }

    private boolean endsStream() {
        return part == null || splitter.restBytes() == 0 && part.endsStream(true);
    }

    private void endStream() {
        if (exchange.isStreamBegun()) {
            exchange.endProxiedStream();
        } else {
            exchange.forwardProxiedResponse(status, headers, Unpooled.EMPTY_BUFFER, hop.executions() > 0);
        }
    }

    /**
     * Returns whether the caller would take the response for the rest of its stream, which it is not.
     */
    private boolean isOtherSuccess() {
        return sequence.hasBegun() && status < MIN_NON_SUCCESS_STATUS;
    }

    @Override
    public void onFailure(CallFailure failure) {
        InstanceId failed = peer.id();
        finish();
        if (exchange.isDone()) {
            return;
        }
        if (failure.sent()) {
            exchange.fail(BAD_GATEWAY, "no complete response from daemon " + failed + ": " + failure.reason());
        } else {
            passOn();
        }
    }

    @Override
    public void cancel() {
        currentSend.cancel();
        finish();
    }

    /**
     * Returns whether the daemon declined the request. The response of an endpoint, which is sealed, declines nothing.
     */
    private boolean isDeclined() {
        return status == UNAVAILABLE && headers.contains(ProxyHop.DECLINED) && !headers.contains(Headers.SEAL);
    }

    private void onDeadline() {
        exchange.fail(GATEWAY_TIMEOUT, "no response within the deadline of the request and the timeout of the route");
    }

    private void finish() {
        if (peer != null) {
            context.proxies().end(peer);
            peer = null;
        }
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
