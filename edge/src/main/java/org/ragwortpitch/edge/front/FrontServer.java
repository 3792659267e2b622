package org.ragwortpitch.edge.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.deployment.CallerLimits;

/**
 * Accepts callers. Confined to its event loop's thread.
 */
public final class FrontServer implements AutoCloseable {

    /** How often connections are checked for slow or silent callers, in milliseconds: well below their limits. */
    private static final long CHECK_MILLIS = 250;

    private static final int BACKLOG = 1_024;

    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Unsent bytes from which on a caller counts as not reading, and below which it counts as reading again. */
    private static final WriteBufferWaterMark UNSENT_BYTES = new WriteBufferWaterMark(32_768, 131_072);

    private final Set<CallerConnection> connections = new HashSet<>();
    private final Channel listening;
    private final ScheduledFuture<?> checks;
    private boolean draining;

    /**
     * Starts to listen.
     *
     * @param limits      what callers may send, as of now
     * @param clockMillis the monotonic clock, in milliseconds
     */
    public FrontServer(
            EventLoop loop,
            InetSocketAddress address,
            Supplier<CallerLimits> limits,
            RequestHandler handler,
            LongSupplier clockMillis) {
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_BYTES)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        CallerLimits now = limits.get();
                        CallerConnection connection =
                                new CallerConnection(FrontServer.this, handler, limits, clockMillis);
                        channel.pipeline()
                                .addLast(connection.byteWatch())
                                .addLast(new StrictRequestDecoder(now.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        checks = loop.scheduleWithFixedDelay(
                () -> List.copyOf(connections).forEach(connection -> connection.check(clockMillis.getAsLong())),
                CHECK_MILLIS,
                CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Tells where it listens.
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Counts the callers' connections.
     */
    public int connections() {
        return connections.size();
    }

    /**
     * From now on, asks callers to close with each answer.
     */
    public void drain() {
        draining = true;
    }

    /**
     * Closes the connections that wait for no answer.
     */
    public void closeIdle() {
        List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    boolean isDraining() {
        return draining;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    @Override
    public void close() {
        checks.cancel(false);
        listening.close();
        List.copyOf(connections).forEach(CallerConnection::close);
    }
}
