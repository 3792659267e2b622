package org.ragwortpitch.edge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import jdk.net.ExtendedSocketOptions;

/**
 * Connections to other programs, the most recently used ones first, so that the rest fall idle and close. Confined to
 * its event loop's thread.
 */
public final class ConnectionPool {

    private static final int MAX_LINE_BYTES = 8_192;

    private static final int MAX_HEADER_BYTES = 65_536;

    private static final int MAX_CHUNK_BYTES = 65_536;

    /** The most idle connections that are kept to one address; more than a daemon uses at once of one endpoint. */
    private static final int MAX_IDLE = 32;

    /** Keep-alive probes in seconds: a silent path shows after their sum, about the usual bound of three seconds. */
    private static final int PROBE_SECONDS = 1;

    private static final int PROBES = 2;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final Bootstrap bootstrap;
    private final Map<String, Deque<OutboundConnection>> idle = new HashMap<>();
    private long opened;

    /**
     * Makes an empty pool.
     *
     * @param connectMillis how long opening a connection may take, in milliseconds
     * @param clockMillis   the monotonic clock, in milliseconds
     */
    public ConnectionPool(EventLoop loop, int connectMillis, LongSupplier clockMillis) {
        this.loop = loop;
        this.clockMillis = clockMillis;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }

    /**
     * Sends a request over an idle connection, or a new one.
     *
     * @param address       host and port
     * @param maxIdleMillis how long a connection may have been idle to be used, in milliseconds
     * @return gives the request up and closes its connection
     */
    public Cancellation send(String address, OutboundRequest request, long maxIdleMillis, ResponseListener listener) {
        OutboundConnection connection = takeIdle(address, maxIdleMillis);
        return connection != null ? connection.send(request, listener) : connectAndSend(address, request, listener);
    }

    /**
     * Counts the connections that were opened so far.
     */
    public long opened() {
        return opened;
    }

    /**
     * Closes the idle connections to an address.
     */
    public void forget(String address) {
        Deque<OutboundConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(OutboundConnection::close);
        }
    }

    /**
     * Tells the present time of the monotonic clock, in milliseconds.
     */
    long nowMillis() {
        return clockMillis.getAsLong();
    }

    /**
     * Takes a connection back whose answer is complete.
     */
    void release(OutboundConnection connection) {
        Deque<OutboundConnection> connections = idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
        connections.push(connection);
        if (connections.size() > MAX_IDLE) {
            connections.pollLast().close();
        }
    }

    /**
     * Forgets a connection that has ended.
     */
    void closed(OutboundConnection connection) {
        Deque<OutboundConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    private OutboundConnection takeIdle(String address, long maxIdleMillis) {
        Deque<OutboundConnection> connections = idle.get(address);
        while (connections != null && !connections.isEmpty()) {
            OutboundConnection connection = connections.pop();
            if (connection.isFresh(maxIdleMillis, nowMillis())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private Cancellation connectAndSend(String address, OutboundRequest request, ResponseListener listener) {
        opened++;
        OutboundConnection connection = new OutboundConnection(this, address);
        Pending pending = new Pending();
        request.body().retain();
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(socketAddress(address));
        connecting.addListener(done -> {
            if (pending.cancelled) {
                connecting.channel().close();
            } else if (done.isSuccess()) {
                connection.opened(connecting.channel());
                pending.sent = connection.send(request, listener);
            } else {
                listener.onBroken(Breakage.unsent(done.cause()));
            }
            request.body().release();
        });
        return pending;
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * A send whose connection is being opened.
     */
    private static final class Pending implements Cancellation {

        private boolean cancelled;
        private Cancellation sent = Cancellation.NONE;

        @Override
        public void cancel() {
            cancelled = true;
            sent.cancel();
        }
    }
}
