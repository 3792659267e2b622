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
 * Calls other daemons and answers their calls. Safe for use by many threads.
 */
public final class PeerTransport implements AutoCloseable {

    /**
     * How long connecting may take, in milliseconds.
     */
    private static final int CONNECT_MILLIS = 1_000;

    /**
     * The secret that daemons share.
     */
    private final SharedSecret secret;

    /**
     * The only thread of the network.
     */
    private final EventLoopGroup loop = new NioEventLoopGroup(1);

    /**
     * The connections to other daemons, by address.
     */
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

    /**
     * Counts the bytes that are sent.
     */
    private final AtomicLong sentBytes = new AtomicLong();

    /**
     * Where other daemons connect.
     */
    private final Channel listening;

    /**
     * Starts to answer.
     *
     * @param secret  the secret that daemons share
     * @param host    the address to bind
     * @param port    the port to bind, or 0 for any
     * @param service answers other daemons
     */
    public PeerTransport(SharedSecret secret, String host, int port, PeerService service) {
        this.secret = secret;
        this.listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new SessionInitializer(
                        () -> new Session(secret, false, (session, call) -> answer(service, session, call)), sentBytes))
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Answers a call.
     *
     * @param service answers other daemons
     * @param session the connection that it came over
     * @param call    the call
     */
    private static void answer(PeerService service, Session session, Frame call) {
        service.answer(call).thenAccept(body -> {
            if (body.getBodyCase() != Frame.BodyCase.BODY_NOT_SET) {
                session.send(
                        body.toBuilder().setCall(call.getCall()).setAnswer(true).build());
            }
        });
    }

    /**
     * Calls another daemon.
     *
     * @param address       its address, as host and port
     * @param body          the call's body
     * @param timeoutMillis how long the answer may take, in milliseconds
     * @return the answer; fails with {@link PeerException} or when the time is over
     */
    public CompletableFuture<Frame> call(String address, Frame body, long timeoutMillis) {
        PeerConnection connection =
                connections.compute(address, (key, open) -> open != null && open.isOpen() ? open : connect(address));
        return connection.call(body, timeoutMillis);
    }

    /**
     * Connects to another daemon.
     *
     * @param address its address, as host and port
     * @return the connection, which is still being opened
     */
    private PeerConnection connect(String address) {
        CallTable calls = new CallTable();
        Session session = new Session(secret, true, (same, frame) -> calls.answered(frame));
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new SessionInitializer(() -> session, sentBytes));
        return new PeerConnection(bootstrap, session, calls, address);
    }

    /**
     * Closes connections to daemons that are no longer there.
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
     * Tells the port that is bound.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /**
     * Counts the bytes that were sent to other daemons.
     *
     * @return the count
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    @Override
    public void close() {
        listening.close();
        connections.values().forEach(PeerConnection::close);
        loop.shutdownGracefully(0, CONNECT_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}
