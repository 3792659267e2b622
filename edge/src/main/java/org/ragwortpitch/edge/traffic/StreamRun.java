package org.ragwortpitch.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.ragwortpitch.contract.Headers;
import org.ragwortpitch.edge.http.Breakage;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.edge.http.ResponseListener;

/**
 * One run of a generation at one engine.
 */
final class StreamRun implements ResponseListener, Cancellation {

    private static final int OK = 200;

    private final EndpointState target;
    private final long tokens;
    private final long uncachedTokens;
    private final StreamListener listener;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteBuf other = Unpooled.buffer();
    private Cancellation sent = Cancellation.NONE;
    private boolean ended;
    private boolean reading = true;
    private boolean gotEvents;
    private boolean counted;
    private int status;
    private HttpHeaders headers;

    StreamRun(EndpointState target, long tokens, long uncachedTokens, StreamListener listener) {
        this.target = target;
        this.tokens = tokens;
        this.uncachedTokens = uncachedTokens;
        this.listener = listener;
    }

    EndpointState target() {
        return target;
    }

    HttpHeaders headers() {
        return headers;
    }

    boolean gotEvents() {
        return gotEvents;
    }

    /**
     * Tells whether the run hasn't been counted before, and counts it.
     */
    boolean countOnce() {
        boolean first = !counted;
        counted = true;
        return first;
    }

    void start(TrafficParts parts, OutboundRequest request) {
        target.begin();
        target.engine().begin(tokens, uncachedTokens);
        sent = parts.connections().send(target.endpoint().address(), request, Long.MAX_VALUE, this);
    }

    @Override
    public void cancel() {
        finish();
        sent.cancel();
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders) {
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void onContent(ByteBuf content) {
        if (status != OK || !headers.contains(Headers.SEAL)) {
            other.writeBytes(content);
            return;
        }
        List<StreamEvent> events = splitter.feed(content);
        if (events.isEmpty()) {
            return;
        }
        gotEvents = true;
        if (reading) {
            reading = false;
            target.engine().read(uncachedTokens);
        }
        listener.onEvents(this, events);
    }

    @Override
    public void onEnd(boolean framed) {
        finish();
        if (headers.contains(Headers.NOT_RUN)) {
            listener.onRefused(this, status);
        } else if (status == OK && !headers.contains(Headers.SEAL)) {
            listener.onBroken(this, true, "a success without a signature");
        } else if (status != OK) {
            listener.onOther(this, status, headers, other);
        } else if (!framed && splitter.rest().length > 0) {
            listener.onBroken(this, true, "the connection ended within an event");
        } else {
            listener.onComplete(this, splitter.rest());
        }
    }

    @Override
    public void onBroken(Breakage breakage) {
        finish();
        listener.onBroken(this, breakage.sent(), breakage.reason());
    }

    private void finish() {
        if (!ended) {
            ended = true;
            target.end();
            if (reading) {
                target.engine().read(uncachedTokens);
            }
            target.engine().end(tokens);
        }
    }
}
