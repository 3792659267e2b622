package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.lang.System.Logger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.logging.Event;

/**
 * A caller's connection: reads and dispatches complete requests one at a time, and queues pipelined ones. Confined to
 * the server's thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = System.getLogger(CallerConnection.class.getName());

    /** HTTP objects of pipelined requests that are queued while one is handled; more close the connection. */
    private static final int MAX_PIPELINED_OBJECTS = 256;

    private final FrontServer server;
    private final RequestHandler handler;
    private final Supplier<CallerLimits> limits;
    private final CallerResponseEncoder encoder;
    private final LongSupplier clockMillis;
    private final Deque<Object> pipelined = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private RequestBody body;
    private long headArrivedMillis;
    private long headStartedMillis;
    private long lastReadMillis;
    private long lastUnsentBytes;
    private Response activeResponse;
    private Cancellation cancellation = Cancellation.NONE;
    private Runnable whenWritable = () -> {};
    private boolean closing;

    CallerConnection(
            FrontServer server,
            RequestHandler handler,
            Supplier<CallerLimits> limits,
            CallerResponseEncoder encoder,
            LongSupplier clockMillis) {
        this.server = server;
        this.handler = handler;
        this.limits = limits;
        this.encoder = encoder;
        this.clockMillis = clockMillis;
    }

    /**
     * Returns a handler that records when bytes arrive, before they are decoded, so that incomplete requests are timed
     * too.
     */
    ChannelInboundHandler readTimer() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                lastReadMillis = clockMillis.getAsLong();
                if (head == null && activeResponse == null && headStartedMillis == 0) {
                    headStartedMillis = lastReadMillis;
                }
                context.fireChannelRead(message);
            }
        };
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastReadMillis = clockMillis.getAsLong();
        server.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (activeResponse != null) {
            pipelined.add(message);
            if (pipelined.size() > MAX_PIPELINED_OBJECTS) {
                close();
            }
        } else {
            read((HttpObject) message);
        }
    }

    private void read(HttpObject part) {
        try {
            if (part instanceof HttpRequest request) {
                readHead(request);
            }
            if (part instanceof HttpContent content && head != null && !closing) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void readHead(HttpRequest request) {
        headStartedMillis = 0;
        encoder.expectResponseTo(request.method());
        CallerLimits now = limits.get();
        Optional<RejectedHead> rejected = RejectedHead.of(request, now);
        if (rejected.isPresent()) {
            refuse(rejected.get());
            return;
        }
        head = request;
        headArrivedMillis = clockMillis.getAsLong();
        body = new RequestBody(now.maxBodyBytes());
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(RejectedHead.MALFORMED_BODY);
            return;
        }
        if (!body.append(content.content(), limits.get().maxBodyBytes())) {
            refuse(RejectedHead.BODY_TOO_LONG);
            return;
        }
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void dispatch() {
        CallerRequest request =
                new CallerRequest(head.method().name(), head.uri(), head.headers(), body.bytes(), headArrivedMillis);
        Response current = new Response(HttpUtil.isKeepAlive(head));
        head = null;
        activeResponse = current;
        if (server.isStalled()) {
            // The caller's close may have arrived behind the request, and is read only after this one.
            channel.eventLoop().execute(() -> {
                current.checkCaller();
                if (activeResponse == current) {
                    handle(request, current);
                }
            });
        } else {
            handle(request, current);
        }
    }

    private void handle(CallerRequest request, Response current) {
        try {
            Cancellation cancel = handler.handle(request, current);
            if (activeResponse == current) {
                cancellation = cancel;
            }
        } catch (RuntimeException failure) {
            Event.of("request-failed")
                    .with("target", request.path())
                    .with("reason", failure)
                    .with("at", failure.getStackTrace().length == 0 ? "-" : failure.getStackTrace()[0])
                    .warn(LOGGER);
            current.fail();
        }
    }

    /**
     * Refuses a request whose end is unknown, and closes the connection, since no later request on it can be delimited.
     */
    private void refuse(RejectedHead rejected) {
        closing = true;
        head = null;
        channel.writeAndFlush(rejected.response()).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Closes the connection of a caller whose headers take too long, which has been idle for too long, or which has not
     * taken a byte of its response for as long. Called periodically.
     */
    void checkTimeouts(long nowMillis) {
        if (activeResponse != null) {
            return;
        }
        CallerLimits now = limits.get();
        long unsent = UnsentBytes.of(channel);
        if (unsent > 0) {
            if (unsent != lastUnsentBytes) {
                lastUnsentBytes = unsent;
                lastReadMillis = nowMillis;
            } else if (nowMillis - lastReadMillis > now.idleTimeoutMillis()) {
                close();
            }
            return;
        }
        if (closing) {
            return;
        }
        if (headStartedMillis != 0 && nowMillis - headStartedMillis > now.headerTimeoutMillis()) {
            refuse(RejectedHead.HEAD_TOO_SLOW);
        } else if (nowMillis - lastReadMillis > now.idleTimeoutMillis()) {
            close();
        }
    }

    void closeIfIdle() {
        if (activeResponse == null && head == null && headStartedMillis == 0 && UnsentBytes.of(channel) == 0) {
            close();
        }
    }

    void close() {
        closing = true;
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            whenWritable.run();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end();
    }

    private void end() {
        closing = true;
        server.closed(this);
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        Cancellation pending = cancellation;
        cancellation = Cancellation.NONE;
        activeResponse = null;
        pending.cancel();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    private void responseSent(boolean keepAlive) {
        activeResponse = null;
        cancellation = Cancellation.NONE;
        whenWritable = () -> {};
        lastReadMillis = clockMillis.getAsLong();
        if (!keepAlive) {
            closing = true;
            return;
        }
        while (activeResponse == null && !closing && !pipelined.isEmpty()) {
            read((HttpObject) pipelined.poll());
        }
    }

    /**
     * The response to the request that was dispatched last.
     */
    private final class Response implements CallerResponse {

        private final boolean keepAliveRequested;
        private boolean keepAlive;
        private boolean streamBegun;

        Response(boolean keepAliveRequested) {
            this.keepAliveRequested = keepAliveRequested;
        }

        @Override
        public void sendFull(int status, HttpHeaders headers, ByteBuf content) {
            if (activeResponse != this) {
                return;
            }
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            setKeepAlive(response);
            send(response);
        }

        @Override
        public void beginStream(int status, HttpHeaders headers) {
            if (activeResponse != this) {
                return;
            }
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            setKeepAlive(response);
            streamBegun = true;
            channel.write(response);
        }

        /** Ends the response to a request whose handler has failed. */
        void fail() {
            if (streamBegun) {
                abort();
            } else {
                sendFull(
                        HttpResponseStatus.INTERNAL_SERVER_ERROR.code(),
                        new DefaultHttpHeaders(),
                        Unpooled.copiedBuffer("internal error of the daemon\n", StandardCharsets.UTF_8));
            }
        }

        @Override
        public void sendChunk(ByteBuf chunk) {
            if (activeResponse == this) {
                channel.writeAndFlush(new DefaultHttpContent(chunk));
            }
        }

        @Override
        public void endStream() {
            if (activeResponse == this) {
                send(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        @Override
        public void abort() {
            if (activeResponse == this) {
                activeResponse = null;
                cancellation = Cancellation.NONE;
                close();
            }
        }

        @Override
        public void checkCaller() {
            if (activeResponse == this && server.isStalled()) {
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
                if (!channel.isActive()) {
                    end();
                }
            }
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        @Override
        public void onWritable(Runnable action) {
            whenWritable = action;
        }

        private void setKeepAlive(HttpResponse response) {
            keepAlive = keepAliveRequested && !server.isDraining();
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void send(Object last) {
            var sent = channel.writeAndFlush(last);
            if (!keepAlive) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
            responseSent(keepAlive);
        }
    }
}
