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
import org.ragwortpitch.contract.HttpCall;

/**
 * Makes calls whose answers are small. Confined to its event loop's thread.
 */
public final class HttpCaller {

    /** Longer answers are broken off; the store's largest page is about 1 MB of base64 in JSON. */
    private static final int MAX_BODY_BYTES = 16_777_216;

    private final EventLoop loop;
    private final ConnectionPool pool;

    /**
     * Makes a caller that uses a pool's connections.
     */
    public HttpCaller(EventLoop loop, ConnectionPool pool) {
        this.loop = loop;
        this.pool = pool;
    }

    /**
     * Makes a call; one of the two listeners hears of its outcome, once.
     *
     * @param timeoutMillis after which it is given up, in milliseconds
     */
    public void call(
            String address,
            HttpCall call,
            long timeoutMillis,
            Consumer<CallAnswer> answered,
            Consumer<Breakage> broken) {
        HttpHeaders headers = new DefaultHttpHeaders();
        call.headers().forEach(headers::set);
        if (call.body().length > 0) {
            headers.set("content-type", "application/json");
        }
        ByteBuf body = Unpooled.wrappedBuffer(call.body());
        OutboundRequest request = new OutboundRequest(call.method(), call.target(), headers, body, "");
        Collector collector = new Collector(answered, broken);
        Cancellation sent = pool.send(address, request, Long.MAX_VALUE, collector);
        collector.timer = loop.schedule(
                () -> {
                    sent.cancel();
                    collector.onBroken(Breakage.sent("no answer in " + timeoutMillis + " ms"));
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Gathers an answer.
     */
    private static final class Collector implements ResponseListener {

        private final Consumer<CallAnswer> answered;
        private final Consumer<Breakage> broken;
        private final ByteBuf content = Unpooled.buffer();
        private ScheduledFuture<?> timer;
        private int status;
        private HttpHeaders headers;
        private boolean done;
        private boolean tooLong;

        Collector(Consumer<CallAnswer> answered, Consumer<Breakage> broken) {
            this.answered = answered;
            this.broken = broken;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders newHeaders) {
            status = newStatus;
            headers = newHeaders;
        }

        @Override
        public void onContent(ByteBuf piece) {
            tooLong |= content.readableBytes() + piece.readableBytes() > MAX_BODY_BYTES;
            if (!tooLong) {
                content.writeBytes(piece);
            }
        }

        @Override
        public void onEnd(boolean framed) {
            if (tooLong) {
                onBroken(Breakage.sent("an answer of more than " + MAX_BODY_BYTES + " bytes"));
            } else if (finish()) {
                answered.accept(new CallAnswer(status, headers, ByteBufUtil.getBytes(content)));
            }
        }

        @Override
        public void onBroken(Breakage breakage) {
            if (finish()) {
                broken.accept(breakage);
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
