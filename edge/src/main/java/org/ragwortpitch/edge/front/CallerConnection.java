package org.ragwortpitch.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.edge.http.Cancellation;

/**
 * A caller's connection: reads whole requests, one at a time, and keeps what the caller sends ahead. Confined to the
 * server's thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Parts of further requests that are kept while one is answered; more ends the connection. */
    private static final int MAX_AHEAD = 256;

    private final FrontServer server;
    private final RequestHandler handler;
    private final Supplier<CallerLimits> limits;
    private final LongSupplier clockMillis;
    private final Deque<Object> ahead = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body;
    private long headArrivedMillis;
    private long headBeganMillis;
    private long lastReadMillis;
    private Answer answer;
    private Cancellation cancellation = Cancellation.NONE;
    private Runnable whenWritable = () -> {};
    private boolean closing;

    CallerConnection(
            FrontServer server, RequestHandler handler, Supplier<CallerLimits> limits, LongSupplier clockMillis) {
        this.server = server;
        this.handler = handler;
        this.limits = limits;
        this.clockMillis = clockMillis;
    }

    /**
     * Notes when bytes come, before they make up a request.
     */
    ChannelInboundHandler byteWatch() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                lastReadMillis = clockMillis.getAsLong();
                if (head == null && answer == null && headBeganMillis == 0) {
                    headBeganMillis = lastReadMillis;
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
        } else if (answer != null) {
            ahead.add(message);
            if (ahead.size() > MAX_AHEAD) {
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
        headBeganMillis = 0;
        Throwable failure = request.decoderResult().cause();
        if (failure instanceof TooLongHttpHeaderException || failure instanceof TooLongHttpLineException) {
            refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "send shorter headers");
            return;
        }
        Optional<String> problem = Framing.problem(request);
        if (problem.isPresent()) {
            refuse(HttpResponseStatus.BAD_REQUEST, problem.get());
            return;
        }
        head = request;
        headArrivedMillis = clockMillis.getAsLong();
        body = Unpooled.buffer();
        if (HttpUtil.getContentLength(request, 0L) > limits.get().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "send a shorter body");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "the body can't be read");
            return;
        }
        if (body.readableBytes() + content.content().readableBytes()
                > limits.get().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "send a shorter body");
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            handOver();
        }
    }

    private void handOver() {
        CallerRequest request =
                new CallerRequest(head.method().name(), head.uri(), head.headers(), body, headArrivedMillis);
        Answer current = new Answer(HttpUtil.isKeepAlive(head));
        head = null;
        answer = current;
        Cancellation cancel = handler.handle(request, current);
        if (answer == current) {
            cancellation = cancel;
        }
    }

    /**
     * Refuses a request whose end isn't known, so that nothing after it can be read.
     */
    private void refuse(HttpResponseStatus status, String remedy) {
        closing = true;
        head = null;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                Unpooled.copiedBuffer(remedy + "\n", java.nio.charset.StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Ends the connection of a caller that is too slow or silent for too long.
     */
    void check(long nowMillis) {
        if (answer != null || closing) {
            return;
        }
        CallerLimits now = limits.get();
        if (headBeganMillis != 0 && nowMillis - headBeganMillis > now.headerTimeoutMillis()) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT, "send headers faster");
        } else if (nowMillis - lastReadMillis > now.idleTimeoutMillis()) {
            close();
        }
    }

    void closeIfIdle() {
        if (answer == null && head == null && headBeganMillis == 0) {
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
        closing = true;
        server.closed(this);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        Cancellation left = cancellation;
        cancellation = Cancellation.NONE;
        answer = null;
        left.cancel();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    private void answered(boolean keep) {
        answer = null;
        cancellation = Cancellation.NONE;
        whenWritable = () -> {};
        lastReadMillis = clockMillis.getAsLong();
        if (!keep) {
            closing = true;
            return;
        }
        while (answer == null && !closing && !ahead.isEmpty()) {
            read((HttpObject) ahead.poll());
        }
    }

    /**
     * The answer to the request that was read last.
     */
    private final class Answer implements CallerAnswer {

        private final boolean asksToKeep;
        private boolean keep;

        Answer(boolean asksToKeep) {
            this.asksToKeep = asksToKeep;
        }

        @Override
        public void whole(int status, HttpHeaders headers, ByteBuf content) {
            if (answer != this) {
                return;
            }
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            decideKeeping(response);
            send(response);
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            if (answer != this) {
                return;
            }
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            decideKeeping(response);
            channel.write(response);
        }

        @Override
        public void piece(ByteBuf piece) {
            if (answer == this) {
                channel.writeAndFlush(new DefaultHttpContent(piece));
            }
        }

        @Override
        public void end() {
            if (answer == this) {
                send(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        @Override
        public void abort() {
            if (answer == this) {
                answer = null;
                cancellation = Cancellation.NONE;
                close();
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

        private void decideKeeping(HttpResponse response) {
            keep = asksToKeep && !server.isDraining();
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void send(Object last) {
            var sent = channel.writeAndFlush(last);
            if (!keep) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
            answered(keep);
        }
    }
}
