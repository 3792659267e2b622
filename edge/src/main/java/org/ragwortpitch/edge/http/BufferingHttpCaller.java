package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortpitch.adapter.HttpCall;
import org.ragwortpitch.edge.task.FaultBarrier;

/**
 * Makes calls whose responses are small enough to be buffered whole. Confined to its event loop's thread.
 */
public final class BufferingHttpCaller {

    /** A call with a longer response fails at once; the store's largest page is about 1.4 MB of base64 in JSON. */
    private static final int MAX_BODY_BYTES = 4_194_304;

    private final EventLoop loop;
    private final ConnectionPool pool;
    private final long maxIdleMillis;
    private final FaultBarrier barrier = new FaultBarrier("handle response");

    /**
     * Creates a caller that uses a pool's connections.
     */
    public BufferingHttpCaller(EventLoop loop, ConnectionPool pool) {
        this(loop, pool, Long.MAX_VALUE);
    }

    private BufferingHttpCaller(EventLoop loop, ConnectionPool pool, long maxIdleMillis) {
        this.loop = loop;
        this.pool = pool;
        this.maxIdleMillis = maxIdleMillis;
    }

    /**
     * Returns a caller that opens a connection for each call. Calls bear no attempt id, so an earlier response that a
     * peer writes once more can't be told from the one that is due.
     */
    public BufferingHttpCaller onNewConnections() {
        return new BufferingHttpCaller(loop, pool, 0);
    }

    /**
     * Makes a call. Exactly one of the two listeners is called, once.
     *
     * @param address       host and port
     * @param timeoutMillis after which the call is cancelled and fails, in milliseconds
     * @param onResponse    called with the complete response, whatever its status
     * @param onFailure     called if no complete response arrives, or if it exceeds 4 MiB
     */
    public void call(
            String address,
            HttpCall call,
            long timeoutMillis,
            Consumer<CallResponse> onResponse,
            Consumer<CallFailure> onFailure) {
        HttpHeaders headers = new DefaultHttpHeaders();
        call.headers().forEach(headers::set);
        if (call.body().length > 0) {
            headers.set("content-type", "application/json");
        }
        ByteBuf body = Unpooled.wrappedBuffer(call.body());
        OutboundRequest request = new OutboundRequest(call.method(), call.target(), headers, body, "");
        ResponseCollector collector = new ResponseCollector(
                response -> barrier.run(address + call.target(), () -> onResponse.accept(response)), onFailure);
        collector.send = pool.send(address, request, maxIdleMillis, collector);
        collector.timer = loop.schedule(
                () -> {
                    collector.send.cancel();
                    collector.onFailure(CallFailure.sent("no complete response within " + timeoutMillis + " ms"));
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Buffers a response. The first of response, failure and timeout wins.
     */
    private static final class ResponseCollector implements ResponseListener {

        private final Consumer<CallResponse> onResponse;
        private final Consumer<CallFailure> onFailure;
        private final ByteBuf content = Unpooled.buffer();
        private ScheduledFuture<?> timer;
        private int status;
        private HttpHeaders headers;
        private boolean done;
        private Cancellation send = Cancellation.NONE;

        ResponseCollector(Consumer<CallResponse> onResponse, Consumer<CallFailure> onFailure) {
            this.onResponse = onResponse;
            this.onFailure = onFailure;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = newHeaders;
        }

        @Override
        public void onContent(ByteBuf chunk) {
            if (content.readableBytes() + chunk.readableBytes() > MAX_BODY_BYTES) {
                send.cancel();
                onFailure(CallFailure.sent("response body exceeds " + MAX_BODY_BYTES + " bytes"));
            } else {
                content.writeBytes(chunk);
            }
        }

        @Override
        public long bufferedBytes() {
            return content.readableBytes();
        }

        @Override
        public void onEnd(boolean framed) {
            if (finish()) {
                onResponse.accept(new CallResponse(status, headers, ByteBufUtil.getBytes(content)));
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            if (finish()) {
                onFailure.accept(failure);
            }
        }

        private boolean finish() {
            if (done) {
                return false;
            }
            done = true;
            if (timer != null) {
                timer.cancel(false);
            }
            return true;
        }
    }
}
