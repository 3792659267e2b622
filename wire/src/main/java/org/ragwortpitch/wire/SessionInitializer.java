package org.ragwortpitch.wire;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.ragwortpitch.wire.generated.PeerProtocol.Envelope;

/**
 * Sets up the pipeline of a connection: length-prefixed messages of bounded size, the protobuf codec, then the session.
 */
final class SessionInitializer extends ChannelInitializer<SocketChannel> {

    private static final int MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

    private static final int LENGTH_PREFIX_BYTES = 4;

    private final Supplier<Session> sessions;

    private final AtomicLong sentBytes;

    /**
     * Creates an initializer.
     *
     * @param sessions  creates the session of each connection
     * @param sentBytes the total to which sent bytes are added
     */
    SessionInitializer(Supplier<Session> sessions, AtomicLong sentBytes) {
        this.sessions = sessions;
        this.sentBytes = sentBytes;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new SentBytesCounter(sentBytes))
                .addLast(new LengthFieldBasedFrameDecoder(
                        MAX_MESSAGE_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(sessions.get());
    }
}
