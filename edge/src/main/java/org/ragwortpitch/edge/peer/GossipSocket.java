package org.ragwortpitch.edge.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;

/**
 * UDP socket for gossip between daemons, one message a datagram.
 */
public final class GossipSocket implements AutoCloseable {

    private static final Logger LOGGER = System.getLogger(GossipSocket.class.getName());

    private static final int MAX_DATAGRAM_BYTES = 65_507;

    private final Channel channel;

    /**
     * Binds the socket.
     *
     * @param onGossip receives each message, on the event loop's thread
     */
    public GossipSocket(EventLoop loop, InetSocketAddress address, Consumer<Gossip> onGossip) {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Handler(onGossip))
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Sends a datagram, which may be lost.
     *
     * @param address IP address and port, separated by a colon
     */
    public void send(String address, byte[] datagram) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), target));
    }

    /**
     * Returns the bound address.
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close();
    }

    /**
     * Decodes datagrams, and logs and skips those that are unreadable.
     */
    private static final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Consumer<Gossip> onGossip;

        Handler(Consumer<Gossip> onGossip) {
            this.onGossip = onGossip;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                onGossip.accept(Gossip.parseFrom(ByteBufUtil.getBytes(packet.content())));
            } catch (InvalidProtocolBufferException exception) {
                Event.of("gossip-unreadable")
                        .with("from", packet.sender())
                        .with("reason", exception.getMessage())
                        .warn(LOGGER);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Event.of("gossip-failed").with("reason", cause.getMessage()).warn(LOGGER);
        }
    }
}
