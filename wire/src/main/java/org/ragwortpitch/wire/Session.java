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
 * One connection: exchanges nonces, then authenticates every frame at its place, so that frames cannot be forged,
 * repeated, reordered or turned back. Confined to the connection's thread.
 */
final class Session extends SimpleChannelInboundHandler<Envelope> {

    /**
     * The version of the protocol. Fields of newer versions are passed over.
     */
    private static final int VERSION = 1;

    /**
     * The length of a nonce, in bytes.
     */
    private static final int NONCE_BYTES = 16;

    /**
     * The most frames that wait for the exchange of nonces.
     */
    private static final int MAX_WAITING = 1_000;

    /**
     * The secret that daemons share.
     */
    private final SharedSecret secret;

    /**
     * Whether this side has connected.
     */
    private final boolean client;

    /**
     * Takes each frame that arrives.
     */
    private final BiConsumer<Session, Frame> receiver;

    /**
     * What this side has drawn.
     */
    private final byte[] nonce = new byte[NONCE_BYTES];

    /**
     * The frames that wait for the exchange of nonces.
     */
    private final Deque<Frame> waiting = new ArrayDeque<>();

    /**
     * The connection.
     */
    private volatile ChannelHandlerContext context;

    /**
     * The key of what this side sends; null before the exchange of nonces.
     */
    private byte[] sendKey;

    /**
     * The key of what the other side sends; null before the exchange of nonces.
     */
    private byte[] receiveKey;

    /**
     * When the last frame was received, in nanoseconds.
     */
    private volatile long receivedNanos = System.nanoTime();

    /**
     * How many frames were sent.
     */
    private long sent;

    /**
     * How many frames were received.
     */
    private long received;

    /**
     * Makes a session.
     *
     * @param secret   the secret that daemons share
     * @param client   whether this side has connected
     * @param receiver takes each frame that arrives
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
            begin(envelope.getHello().getNonce().toByteArray());
        } else {
            receive(active, envelope);
        }
    }

    /**
     * Makes the keys, and sends what waits.
     *
     * @param other what the other side has drawn
     */
    private void begin(byte[] other) {
        byte[] clientNonce = client ? nonce : other;
        byte[] serverNonce = client ? other : nonce;
        sendKey = secret.connectionKey(clientNonce, serverNonce, client);
        receiveKey = secret.connectionKey(clientNonce, serverNonce, !client);
        while (!waiting.isEmpty()) {
            write(waiting.removeFirst());
        }
    }

    /**
     * Takes a frame, or closes the connection if the frame is not authentic.
     *
     * @param active   the connection
     * @param envelope the frame with its code
     */
    private void receive(ChannelHandlerContext active, Envelope envelope) {
        byte[] frame = envelope.getFrame().toByteArray();
        boolean authentic = receiveKey != null
                && MessageDigest.isEqual(
                        SharedSecret.code(receiveKey, received, frame),
                        envelope.getCode().toByteArray());
        if (!authentic) {
            active.close();
            return;
        }
        received++;
        receivedNanos = System.nanoTime();
        try {
            receiver.accept(this, Frame.parseFrom(frame));
        } catch (InvalidProtocolBufferException exception) {
            active.close();
        }
    }

    /**
     * Tells when the last frame was received.
     *
     * @return the time, in nanoseconds
     */
    long receivedNanos() {
        return receivedNanos;
    }

    /**
     * Sends a frame, from any thread.
     *
     * @param frame the frame
     */
    void send(Frame frame) {
        ChannelHandlerContext active = context;
        if (active != null) {
            active.executor().execute(() -> sendNow(frame));
        }
    }

    /**
     * Sends a frame, or lets it wait for the exchange of nonces.
     *
     * @param frame the frame
     */
    private void sendNow(Frame frame) {
        if (sendKey != null) {
            write(frame);
        } else if (waiting.size() < MAX_WAITING) {
            waiting.addLast(frame);
        }
    }

    /**
     * Writes a frame with its code.
     *
     * @param frame the frame
     */
    private void write(Frame frame) {
        byte[] bytes = frame.toByteArray();
        byte[] code = SharedSecret.code(sendKey, sent++, bytes);
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
