package org.ragwortpitch.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * Sends calls to other daemons and serves theirs, on one network thread. Thread-safe.
 */
public final class PeerTransport implements AutoCloseable {

    private static final int CONNECT_MILLIS = 1_000;

    private final SharedSecret secret;

    private final EventLoopGroup eventLoop = new NioEventLoopGroup(1);

    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

    private final AtomicLong sentBytes = new AtomicLong();

    private final Channel serverChannel;

    /**
     * Binds the address and starts to serve calls.
     *
     * @param secret  the secret that the daemons share
     * @param host    the address to bind
     * @param port    the port to bind, or 0 for an ephemeral one
     * @param service handles the calls of other daemons
     */
    public PeerTransport(SharedSecret secret, String host, int port, PeerService service) {
        this.secret = secret;
        this.serverChannel = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new SessionInitializer(
                        () -> new Session(secret, false, (session, call) -> respond(service, session, call)),
                        sentBytes))
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    private static void respond(PeerService service, Session session, Frame call) {
        service.handle(call).thenAccept(body -> {
            if (body.getBodyCase() != Frame.BodyCase.BODY_NOT_SET) {
                session.send(
                        body.toBuilder().setCall(call.getCall()).setAnswer(true).build());
            }
        });
    }

    /**
     * Calls another daemon, over the open connection to it or a new one.
     *
     * @param address       host and port of the other daemon
     * @param body          the call's body
     * @param timeoutMillis until the call fails, in milliseconds
     * @return the response; fails with {@link PeerException}, or after the timeout with
     *     {@link java.util.concurrent.TimeoutException}
     */
    public CompletableFuture<Frame> call(String address, Frame body, long timeoutMillis) {
        PeerConnection connection =
                connections.compute(address, (key, open) -> open != null && open.isOpen() ? open : connect(address));
        return connection.call(body, timeoutMillis);
    }

    private PeerConnection connect(String address) {
        CallTable calls = new CallTable();
        Session session = new Session(secret, true, (ignored, frame) -> calls.complete(frame));
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new SessionInitializer(() -> session, sentBytes));
        return new PeerConnection(bootstrap, session, calls, address);
    }

    /**
     * Closes the connections to all other addresses, such as those of daemons that have left.
     *
     * @param addresses the addresses to keep
     */
    public void retain(Set<String> addresses) {
        connections.forEach((address, connection) -> {
            if (!addresses.contains(address) && connections.remove(address, connection)) {
                connection.close();
            }
        });
    }

    /**
     * Returns the bound port.
     */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /**
     * Returns how many bytes have been sent to other daemons, length prefixes included.
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    @Override
    public void close() {
        serverChannel.close();
        connections.values().forEach(PeerConnection::close);
        eventLoop.shutdownGracefully(0, CONNECT_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
