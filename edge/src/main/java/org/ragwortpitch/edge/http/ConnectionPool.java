package org.ragwortpitch.edge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import jdk.net.ExtendedSocketOptions;
import org.ragwortpitch.logging.Event;

/**
 * A pool of HTTP/1.1 connections by address. The most recently used connection is reused first, so that surplus
 * connections stay idle and expire. Confined to its event loop's thread.
 */
public final class ConnectionPool {

    private static final Logger LOGGER = System.getLogger(ConnectionPool.class.getName());

    private static final int MAX_LINE_BYTES = 8_192;

    /** Many short headers take some thirty times as much memory. */
    private static final int MAX_HEADER_BYTES = 8_192;

    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Idle connections that are kept for one address; exceeds a daemon's concurrent requests to one endpoint. */
    private static final int MAX_IDLE_PER_ADDRESS = 32;

    /** TCP keep-alive: with two probes, a dead path is detected after about three seconds, the usual bound. */
    private static final int KEEP_ALIVE_PROBE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final ConnectionObserver observer;
    private final ResponseMemory memory;
    private final Bootstrap bootstrap;
    private final Map<String, Deque<OutboundConnection>> idle = new HashMap<>();
    private long opened;

    /**
     * Creates an empty pool.
     *
     * @param connectMillis the connect timeout, in milliseconds
     * @param clockMillis   the monotonic clock, in milliseconds
     */
    public ConnectionPool(EventLoop loop, int connectMillis, LongSupplier clockMillis) {
        this(loop, connectMillis, clockMillis, ConnectionObserver.NONE, ResponseMemory.forControl());
    }

    /**
     * Creates an empty pool.
     *
     * @param connectMillis the connect timeout, in milliseconds
     * @param clockMillis   the monotonic clock, in milliseconds
     * @param observer      learns which addresses can be reached
     * @param memory        of the responses in progress; may be shared by pools of one event loop
     */
    public ConnectionPool(
            EventLoop loop,
            int connectMillis,
            LongSupplier clockMillis,
            ConnectionObserver observer,
            ResponseMemory memory) {
        this.memory = memory;
        this.loop = loop;
        this.clockMillis = clockMillis;
        this.observer = observer;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }

    /**
     * Has connections reset whenever they are closed, be it by the end of the process. What the kernel still holds of a
     * request is then dropped; otherwise it goes on to deliver it, for as long as minutes after the path was cut.
     *
     * @return this pool
     */
    public ConnectionPool resetOnClose() {
        bootstrap.option(ChannelOption.SO_LINGER, 0);
        return this;
    }

    /**
     * Sends a request over an idle connection, or over a new one if none is fresh enough. HEAD gets a connection of its
     * own, since an extra response to another method can't be delimited there.
     *
     * @param address       host and port
     * @param maxIdleMillis how long a reused connection may have been idle, in milliseconds
     * @return cancels the request and closes its connection
     */
    public OutboundSend send(String address, OutboundRequest request, long maxIdleMillis, ResponseListener listener) {
        OutboundConnection connection = HttpMethod.HEAD.name().equals(request.method())
                ? null
                : takeIdle(address, maxIdleMillis, request.attemptId());
        return connection != null ? connection.send(request, listener) : connectAndSend(address, request, listener);
    }

    /**
     * Opens a connection to an address and closes it again, for the observer.
     *
     * @param connectMillis the connect timeout, in milliseconds
     */
    public void probe(String address, int connectMillis) {
        opened++;
        ChannelFuture connecting = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(socketAddress(address));
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                observer.onHeard(address);
            } else {
                observer.onConnectFailed(address);
            }
            connecting.channel().close();
        });
    }

    /**
     * Returns how many connections the pool has started to open since its creation, including failed ones.
     */
    public long opened() {
        return opened;
    }

    /**
     * Closes the idle connections to an address.
     */
    public void closeIdle(String address) {
        Deque<OutboundConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(OutboundConnection::close);
        }
    }

    ResponseMemory memory() {
        return memory;
    }

    long nowMillis() {
        return clockMillis.getAsLong();
    }

    void responded(OutboundConnection connection, HttpResponse head) {
        observer.onResponse(connection.address(), head.status().code(), head.headers());
    }

    void unexpected(UnexpectedResponse response) {
        Event.of("unexpected-response")
                .with("address", response.address())
                .with("connection", response.connection())
                .with("requests", response.requests())
                .with("previous", response.previousId())
                .with("request", response.pendingId())
                .with("response", response.receivedId())
                .with("status", response.status())
                .with("sealed", response.sealed())
                .with("origin", response.origin())
                .with("outcome", response.outcome())
                .info(LOGGER);
        observer.onUnexpectedResponse(response);
    }

    void heard(OutboundConnection connection) {
        observer.onHeard(connection.address());
    }

    /**
     * Returns a connection to the pool after a complete response. Beyond the limit, closes the least recently used.
     */
    void release(OutboundConnection connection) {
        Deque<OutboundConnection> connections = idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
        connections.push(connection);
        if (connections.size() > MAX_IDLE_PER_ADDRESS) {
            connections.pollLast().close();
        }
    }

    /**
     * Removes a closed connection from the idle ones.
     */
    void closed(OutboundConnection connection) {
        Deque<OutboundConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /**
     * Removes and returns the most recently used connection that is fresh and has not carried a request of the attempt;
     * null if there is none.
     */
    private OutboundConnection takeIdle(String address, long maxIdleMillis, String attemptId) {
        Deque<OutboundConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        Deque<OutboundConnection> passedOver = new ArrayDeque<>();
        OutboundConnection taken = null;
        while (taken == null && !connections.isEmpty()) {
            OutboundConnection connection = connections.pop();
            if (!connection.isFresh(maxIdleMillis, nowMillis())) {
                connection.close();
            } else if (connection.hasCarried(attemptId)) {
                passedOver.push(connection);
            } else {
                taken = connection;
            }
        }
        passedOver.forEach(connections::push);
        return taken;
    }

    private OutboundSend connectAndSend(String address, OutboundRequest request, ResponseListener listener) {
        opened++;
        ResponseDecoder decoder = new ResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        OutboundConnection connection = new OutboundConnection(this, address, decoder, opened);
        PendingSend pending = new PendingSend();
        request.body().retain();
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(connection.excessGuard())
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(socketAddress(address));
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                request.beforeSend().run();
                observer.onHeard(address);
                connection.opened(connecting.channel());
            } else if (!pending.cancelled) {
                observer.onConnectFailed(address);
            }
            if (pending.cancelled) {
                connecting.channel().close();
            } else if (done.isSuccess()) {
                pending.sent = connection.send(request, listener);
            } else {
                listener.onFailure(CallFailure.unsent(done.cause()));
            }
            request.body().release();
        });
        return pending;
    }

    /**
     * Returns the host and port of a socket address, separated by a colon.
     */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the socket address of a host and port, separated by a colon.
     */
    public static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * A request whose connection is still being opened.
     */
    private static final class PendingSend implements OutboundSend {

        private boolean cancelled;
        private Cancellation sent;

        @Override
        public boolean hasBegun() {
            return sent != null;
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (sent != null) {
                sent.cancel();
            }
        }
    }
}
