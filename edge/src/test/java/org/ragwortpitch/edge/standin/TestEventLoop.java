package org.ragwortpitch.edge.standin;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A Netty event loop with a single thread, for tests.
 */
public final class TestEventLoop implements AutoCloseable {

    public static final LongSupplier CLOCK_MILLIS = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    public EventLoop loop() {
        return group.next();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
