package org.ragwortpitch.edge.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.edge.task.FaultBarrier;

/**
 * Accepts callers' HTTP/1.1 connections. Confined to its event loop's thread.
 */
public final class FrontServer implements AutoCloseable {

    /** Interval of the timeout scan, which bounds how late a timeout is noticed; well below the timeouts themselves. */
    private static final long TIMEOUT_CHECK_MILLIS = 250;

    private static final int BACKLOG = 1_024;

    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Unsent bytes: above the high watermark a caller counts as not reading, below the low one as reading again. */
    private static final WriteBufferWaterMark WRITE_WATERMARKS = new WriteBufferWaterMark(32_768, 131_072);

    /**
     * Time without a turn of the event loop after which requests that wait may have lost their callers, in
     * milliseconds; longer than the pause between the checks of timeouts.
     */
    private static final long STALLED_MILLIS = 300;

    private final LongSupplier clockMillis;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Channel listening;
    private final ScheduledFuture<?> timeoutChecks;
    private boolean draining;
    private long lastTurnMillis;
    private long stalledUntilMillis = Long.MIN_VALUE;

    /**
     * Binds the address and starts to accept connections.
     *
     * @param limits      supplies the current limits on requests
     * @param clockMillis the monotonic clock, in milliseconds
     */
    public FrontServer(
            EventLoop loop,
            InetSocketAddress address,
            Supplier<CallerLimits> limits,
            RequestHandler handler,
            LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
        this.lastTurnMillis = clockMillis.getAsLong();
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATERMARKS)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        CallerResponseEncoder encoder = new CallerResponseEncoder();
                        CallerConnection connection =
                                new CallerConnection(FrontServer.this, handler, limits, encoder, clockMillis);
                        channel.pipeline()
                                .addLast(connection.readTimer())
                                .addLast(new RequestDecoder(() -> limits.get().maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(encoder)
                                .addLast(connection);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        timeoutChecks = FaultBarrier.schedule(loop, "check timeouts", TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
    }

    private void checkTimeouts() {
        recordTurn();
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(clockMillis.getAsLong()));
    }

    /**
     * Records that the event loop runs its periodic tasks.
     */
    public void recordTurn() {
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis - lastTurnMillis > STALLED_MILLIS) {
            // What arrived during the stall is read after the tasks that were due.
            stalledUntilMillis = nowMillis + STALLED_MILLIS;
        }
        lastTurnMillis = nowMillis;
    }

    /**
     * Returns whether the event loop is so far behind that a caller may have left while its request waited to be read.
     */
    boolean isStalled() {
        long nowMillis = clockMillis.getAsLong();
        return nowMillis < stalledUntilMillis || nowMillis - lastTurnMillis > STALLED_MILLIS;
    }

    /**
     * Returns the bound address.
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Returns the number of open connections.
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Refuses new connections from now on.
     */
    public void stopAccepting() {
        listening.close();
    }

    /**
     * Sends {@code Connection: close} with every response from now on.
     */
    public void drain() {
        draining = true;
    }

    /**
     * Closes the connections without a request that is being received or handled.
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
        timeoutChecks.cancel(false);
        listening.close();
        List.copyOf(connections).forEach(CallerConnection::close);
    }
}
