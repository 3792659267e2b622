package org.ragwortpitch.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;
import org.ragwortpitch.wire.generated.PeerProtocol.Envelope;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;
import org.ragwortpitch.wire.generated.PeerProtocol.Hello;

/**
 * The session layer of one connection. Both sides exchange nonces, from which a key for each direction is derived; then
 * each frame carries a message authentication code over its sequence number and content, so that frames cannot be
 * forged, replayed, reordered or reflected. Confined to the connection's thread, except where stated.
 */
final class Session extends SimpleChannelInboundHandler<Envelope> {

    /**
     * The protocol version. Envelopes of a lower version close the connection; fields of later versions are ignored.
     */
    private static final int VERSION = 1;

    private static final int NONCE_BYTES = 16;

    /**
     * Limit on frames that are queued until the nonces are exchanged; further ones are dropped.
     */
    private static final int MAX_QUEUED_FRAMES = 1_000;

    private final SharedSecret secret;

    /**
     * Whether this side opened the connection.
     */
    private final boolean client;

    private final BiConsumer<Session, Frame> receiver;

    private final byte[] nonce = new byte[NONCE_BYTES];

    private final Deque<Frame> queuedFrames = new ArrayDeque<>();

    private volatile ChannelHandlerContext context;

    /**
     * Null until the nonces are exchanged, like the receive key.
     */
    private byte[] sendKey;

    private byte[] receiveKey;

    /**
     * When the last authentic frame arrived, by {@link System#nanoTime}.
     */
    private volatile long lastReceivedNanos = System.nanoTime();

    /**
     * The sequence number of the next frame to send, which its code covers.
     */
    private long sentFrames;

    private long receivedFrames;

    /**
     * Creates a session with a fresh nonce.
     *
     * @param client   whether this side opens the connection
     * @param receiver called with each authentic frame
     */
    Session(SharedSecret secret, boolean client, BiConsumer<Session, Frame> receiver) {
        super(Envelope.class);
        this.secret = secret;
        this.client = client;
        this.receiver = receiver;
        new SecureRandom().nextBytes(nonce);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        Hello hello = Hello.newBuilder().setNonce(ByteString.copyFrom(nonce)).build();
        active.writeAndFlush(
                Envelope.newBuilder().setVersion(VERSION).setHello(hello).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext active, Envelope envelope) {
        if (envelope.getVersion() < VERSION) {
            active.close();
        } else if (receiveKey == null && envelope.hasHello()) {
            establishKeys(envelope.getHello().getNonce().toByteArray());
        } else {
            receive(active, envelope);
        }
    }

    private void establishKeys(byte[] otherNonce) {
        byte[] clientNonce = client ? nonce : otherNonce;
        byte[] serverNonce = client ? otherNonce : nonce;
        sendKey = secret.connectionKey(clientNonce, serverNonce, client);
        receiveKey = secret.connectionKey(clientNonce, serverNonce, !client);
        while (!queuedFrames.isEmpty()) {
            write(queuedFrames.removeFirst());
        }
    }

    private void receive(ChannelHandlerContext active, Envelope envelope) {
        byte[] frame = envelope.getFrame().toByteArray();
        boolean authentic = receiveKey != null
                && MessageDigest.isEqual(
                        SharedSecret.frameCode(receiveKey, receivedFrames, frame),
                        envelope.getCode().toByteArray());
        if (!authentic) {
            active.close();
            return;
        }
        receivedFrames++;
        lastReceivedNanos = System.nanoTime();
        try {
            receiver.accept(this, Frame.parseFrom(frame));
        } catch (InvalidProtocolBufferException exception) {
            active.close();
        }
    }

    /**
     * Returns when the last authentic frame arrived, by {@link System#nanoTime}; initially when the session was
     * created. May be called from any thread.
     */
    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /**
     * Sends a frame, or queues it until the nonces are exchanged. A frame is dropped if the session is not in a
     * pipeline yet. May be called from any thread.
     */
    void send(Frame frame) {
        ChannelHandlerContext active = context;
        if (active != null) {
            active.executor().execute(() -> sendNow(frame));
        }
    }

    private void sendNow(Frame frame) {
        if (sendKey != null) {
            write(frame);
        } else if (queuedFrames.size() < MAX_QUEUED_FRAMES) {
            queuedFrames.addLast(frame);
        }
    }

    private void write(Frame frame) {
        byte[] bytes = frame.toByteArray();
        byte[] code = SharedSecret.frameCode(sendKey, sentFrames++, bytes);
        context.writeAndFlush(Envelope.newBuilder()
                .setVersion(VERSION)
                .setFrame(ByteString.copyFrom(bytes))
                .setCode(ByteString.copyFrom(code))
                .build());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
        active.close();
    }
}
