package org.ragwortpitch.edge.directory;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * HTTP server for address look-ups, readiness checks and metrics, which are answered on the event loop's thread.
 */
public final class SmallServer implements AutoCloseable {

    private static final int MAX_REQUEST_BYTES = 65_536;

    /** Idle time after which a connection is closed, in seconds; clients send a request at least every few seconds. */
    private static final int IDLE_SECONDS = 30;

    private final Channel listening;

    /**
     * Binds the server.
     *
     * @param handler answers a request by its URI; runs on the event loop's thread and must not block
     */
    public SmallServer(EventLoop loop, InetSocketAddress address, Function<QueryStringDecoder, SmallAnswer> handler) {
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new Handler(handler));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the bound address.
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public void close() {
        listening.close();
    }

    /**
     * Answers the requests of one connection.
     */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Function<QueryStringDecoder, SmallAnswer> handler;

        Handler(Function<QueryStringDecoder, SmallAnswer> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            SmallAnswer answer = handler.apply(new QueryStringDecoder(request.uri()));
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.wrappedBuffer(answer.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            var sent = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
