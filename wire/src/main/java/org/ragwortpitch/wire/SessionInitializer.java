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
 * Sets connections up: frames of bounded length, protobuf, then the session.
 */
final class SessionInitializer extends ChannelInitializer<SocketChannel> {

    /**
     * The longest frame, in bytes.
     */
    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /**
     * The length of a frame's length, in bytes.
     */
    private static final int LENGTH_BYTES = 4;

    /**
     * Makes the session of each connection.
     */
    private final Supplier<Session> sessions;

    /**
     * Counts the bytes that are sent.
     */
    private final AtomicLong sentBytes;

    /**
     * Makes an initializer.
     *
     * @param sessions  makes the session of each connection
     * @param sentBytes counts the bytes that are sent
     */
    SessionInitializer(Supplier<Session> sessions, AtomicLong sentBytes) {
        this.sessions = sessions;
        this.sentBytes = sentBytes;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new SentBytesCounter(sentBytes))
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(sessions.get());
    }
}
