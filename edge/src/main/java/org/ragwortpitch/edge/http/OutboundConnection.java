package org.ragwortpitch.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.response.ResponseOrigin;

/**
 * One connection, which carries one request at a time. A response with another attempt's id belongs to an earlier
 * request and is skipped; so is one without an id on a connection that carried another request, after which the answer
 * has to follow soon. Data that arrives while no request is pending closes the connection. Confined to the
 * pool's thread.
 */
final class OutboundConnection extends ChannelInboundHandlerAdapter {

    private static final int FIRST_FINAL_STATUS = 200;

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    /** Requests back to which a late response is told from that to a request with the same attempt id. */
    private static final int REMEMBERED_ATTEMPTS = 16;

    private final ConnectionPool pool;
    private final String address;
    private final ResponseDecoder decoder;
    private final Deque<String> carriedIds = new ArrayDeque<>();
    private final JoinedBodyDetector joinedBodies = new JoinedBodyDetector();
    private final ResponseSkipper skipper = new ResponseSkipper(this::fail);
    private Channel channel;
    private ResponseListener listener;
    private final long number;
    private String attemptId = "";
    private String previousId = "";
    private boolean echoed;
    private int requests;
    private boolean written;
    private boolean reusable;
    private boolean framed;
    private boolean reset;
    private long idleLimitMillis = Long.MAX_VALUE;
    private long idleSinceMillis;

    /**
     * Creates a connection that is yet to be opened.
     *
     * @param decoder before this handler in the connection's pipeline
     * @param number  in the order of the pool's connections, for the log
     */
    OutboundConnection(ConnectionPool pool, String address, ResponseDecoder decoder, long number) {
        this.pool = pool;
        this.address = address;
        this.decoder = decoder;
        this.number = number;
    }

    String address() {
        return address;
    }

    /**
     * Returns whether the peer is expected to accept another request, by its announced keep-alive timeout and the
     * caller's bound.
     *
     * @param maxIdleMillis how long the connection may have been idle, in milliseconds
     */
    boolean isFresh(long maxIdleMillis, long nowMillis) {
        long idleMillis = nowMillis - idleSinceMillis;
        return channel.isActive() && idleMillis < Math.min(idleLimitMillis, maxIdleMillis);
    }

    /**
     * Returns whether the connection has lately carried a request of an attempt, so that a late response to that one
     * would pass for the response to another request of the attempt.
     *
     * @param id the attempt id; empty if the request has none
     */
    boolean hasCarried(String id) {
        return carriedIds.contains(id);
    }

    /**
     * Returns a handler that closes the connection if bytes arrive while no request is pending, even if they are no
     * whole head yet. Placed before the decoder, which still names a whole head in the log.
     */
    ChannelInboundHandler excessGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                boolean excess = listener == null;
                context.fireChannelRead(message);
                if (excess) {
                    channel.close();
                }
            }
        };
    }

    void opened(Channel open) {
        channel = open;
    }

    OutboundSend send(OutboundRequest request, ResponseListener responses) {
        listener = responses;
        previousId = attemptId;
        attemptId = request.attemptId();
        echoed = request.echoed();
        requests++;
        rememberAttempt();
        decoder.expectResponseTo(request.method());
        written = false;
        skipper.reset();
        joinedBodies.reset();
        reusable = !HttpMethod.HEAD.name().equals(request.method());
        channel.writeAndFlush(message(request)).addListener(done -> {
            written = done.isSuccess();
            if (!done.isSuccess() && listener == responses) {
                fail("write failed: " + done.cause());
            }
        });
        return new OutboundSend() {

            @Override
            public boolean hasBegun() {
                return true;
            }

            @Override
            public void cancel() {
                if (listener == responses) {
                    detach();
                    channel.close();
                }
            }
        };
    }

    void close() {
        detach();
        channel.close();
    }

    /**
     * Fails the response in progress, as the memory for responses is used up.
     */
    void overflow() {
        fail("response longer than the memory for responses allows");
    }

    private void detach() {
        listener = null;
        skipper.stop();
        pool.memory().release(this);
    }

    private void rememberAttempt() {
        if (!attemptId.isEmpty()) {
            carriedIds.addLast(attemptId);
            if (carriedIds.size() > REMEMBERED_ATTEMPTS) {
                carriedIds.removeFirst();
            }
        }
    }

    private FullHttpRequest message(OutboundRequest request) {
        ByteBuf body = request.body().retainedDuplicate();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                body,
                request.headers().copy(),
                EmptyHttpHeaders.INSTANCE);
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, address);
        }
        if (body.isReadable() || "POST".equals(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return message;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        pool.heard(this);
        try {
            HttpObject part = (HttpObject) message;
            if (listener == null) {
                closeForExcess(part);
            } else if (part.decoderResult().isFailure()) {
                fail("invalid HTTP response: " + part.decoderResult().cause());
            } else {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject part) {
        if (part instanceof HttpResponse head) {
            readHead(head);
        }
        if (part instanceof HttpContent content && listener != null) {
            readContent(content);
        }
    }

    /**
     * Closes the connection as the peer has sent more than the responses to its requests.
     */
    private void closeForExcess(HttpObject part) {
        if (part instanceof HttpResponse head && head.decoderResult().isSuccess()) {
            report(head, ResponseOrigin.UNKNOWN, "connection closed, no request was pending");
        }
        channel.close();
    }

    private void readHead(HttpResponse head) {
        if (JoinedHeads.isJoined(head)) {
            report(head, ResponseOrigin.UNKNOWN, "failed, the status line of another response is in the head");
            fail("status line of another response within the head of a response");
            return;
        }
        ResponseOrigin origin = ResponseOrigin.of(attemptId, idOf(head), echoed, requests > 1);
        boolean interim = head.status().code() < FIRST_FINAL_STATUS;
        if (origin != ResponseOrigin.PENDING_REQUEST || interim) {
            skip(head, origin, interim);
            return;
        }
        skipper.stop();
        pool.responded(this, head);
        framed = HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || decoder.endsWithHead(head);
        reusable &= framed && HttpUtil.isKeepAlive(head);
        idleLimitMillis = KeepAlive.limitMillis(head.headers().get(KeepAlive.HEADER));
        listener.onHead(head.status().code(), head.headers());
    }

    /**
     * Skips a response that is not the answer. After one that bears no id, the connection carries no other request, as
     * it may be out of step.
     */
    private void skip(HttpResponse head, ResponseOrigin origin, boolean interim) {
        if (interim) {
            skipper.skip(head, ResponseOrigin.PENDING_REQUEST, channel.eventLoop());
            return;
        }
        reusable &= origin != ResponseOrigin.UNKNOWN;
        if (origin == ResponseOrigin.UNKNOWN && isUnsealedSuccess(head)) {
            report(head, origin, "failed");
            fail("success without an attempt id and a seal on a connection that carried another request");
        } else {
            report(head, origin, "skipped");
            skipper.skip(head, origin, channel.eventLoop());
        }
    }

    /**
     * Returns whether a response can't be the copy of an endpoint's answer, which is sealed. It is the answer itself,
     * spoiled, and no other follows.
     */
    private static boolean isUnsealedSuccess(HttpResponse head) {
        return head.status().code() < MIN_NON_SUCCESS_STATUS && !head.headers().contains(Headers.SEAL);
    }

    private static String idOf(HttpResponse head) {
        return head.headers().get(Headers.ATTEMPT, "");
    }

    private void report(HttpResponse head, ResponseOrigin origin, String outcome) {
        boolean pending = listener != null;
        pool.unexpected(new UnexpectedResponse(
                address,
                number,
                requests,
                pending ? previousId : attemptId,
                pending ? attemptId : "",
                idOf(head),
                head.status().code(),
                head.headers().contains(Headers.SEAL),
                origin,
                outcome));
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipper.isSkipping()) {
            if (last) {
                skipper.end(channel.eventLoop());
            }
            return;
        }
        if (isJoined(content)) {
            fail("head of another response within the body of a response");
            return;
        }
        if (content.content().isReadable()) {
            listener.onContent(content.content());
            if (listener != null) {
                pool.memory().hold(this, listener.bufferedBytes());
            }
        }
        if (last && listener != null) {
            end();
        }
    }

    private boolean isJoined(HttpContent content) {
        return echoed
                && (joinedBodies.feed(content.content())
                        || content instanceof LastHttpContent && joinedBodies.feedExcess(decoder.excessBytes()));
    }

    private void end() {
        if (reset) {
            fail("connection reset during a response without a stated length");
            return;
        }
        ResponseListener done = listener;
        detach();
        // A response that arrives before the request is fully written leaves part of it in flight, and bytes beyond a
        // response would be read as the next one, so the connection can't carry another request.
        if (reusable && written && channel.isActive() && !decoder.hasExcessBytes()) {
            idleSinceMillis = pool.nowMillis();
            pool.release(this);
        } else {
            channel.close();
        }
        done.onEnd(framed);
    }

    private void fail(String reason) {
        ResponseListener failed = listener;
        detach();
        channel.close();
        if (failed != null) {
            failed.onFailure(CallFailure.sent(reason));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        fail(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail("connection closed before the end of the response");
    }
}
