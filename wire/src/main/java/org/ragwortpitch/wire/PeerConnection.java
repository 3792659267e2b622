package org.ragwortpitch.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * A connection to one other daemon, for calls to it.
 */
final class PeerConnection {

    /**
     * The other side's address.
     */
    private final String address;

    /**
     * The calls that await their answers.
     */
    private final CallTable calls;

    /**
     * The session, once connected.
     */
    private final CompletableFuture<Session> session = new CompletableFuture<>();

    /**
     * The session as it was made.
     */
    private final Session opened;

    /**
     * The channel.
     */
    private final Channel channel;

    /**
     * Connects.
     *
     * @param bootstrap how to connect, with a handler that makes the session
     * @param opened    the session that the handler makes
     * @param calls     the calls that await their answers
     * @param address   the other side's address, as host and port
     */
    PeerConnection(Bootstrap bootstrap, Session opened, CallTable calls, String address) {
        this.address = address;
        this.calls = calls;
        this.opened = opened;
        int colon = address.lastIndexOf(':');
        ChannelFuture connecting =
                bootstrap.connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        this.channel = connecting.channel();
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                session.complete(opened);
            } else {
                session.completeExceptionally(new PeerException("cannot connect to " + address));
            }
        });
        channel.closeFuture().addListener(future -> {
            session.completeExceptionally(new PeerException("cannot connect to " + address));
            calls.fail(address);
        });
    }

    /**
     * Calls the other side.
     *
     * @param body          the call's body
     * @param timeoutMillis how long the answer may take, in milliseconds
     * @return the answer; fails with {@link PeerException} or when the time is over
     */
    CompletableFuture<Frame> call(Frame body, long timeoutMillis) {
        CompletableFuture<Frame> answer = new CompletableFuture<>();
        long call = calls.begin(answer);
        long calledNanos = System.nanoTime();
        session.whenComplete((open, failure) -> {
            if (failure != null) {
                answer.completeExceptionally(failure);
            } else {
                open.send(body.toBuilder().setCall(call).setAnswer(false).build());
            }
        });
        if (!channel.isOpen()) {
            calls.fail(address);
        }
        return answer.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((frame, failure) -> {
            boolean silent = opened.receivedNanos() - calledNanos < 0;
            if (failure instanceof TimeoutException && awaitsAnswer(body) && silent) {
                channel.close();
            }
        });
    }

    /**
     * Tells whether a call gets an answer. If it stays away and nothing else comes either,
     * the connection leads nowhere.
     *
     * @param body the call's body
     * @return whether it gets one
     */
    private static boolean awaitsAnswer(Frame body) {
        return !body.hasLoanSettled() && !body.hasShareSurrender() && !body.hasSuspect();
    }

    /**
     * Tells whether the connection can be used.
     *
     * @return whether it is open or being opened
     */
    boolean isOpen() {
        return channel.isOpen();
    }

    /**
     * Closes the connection.
     */
    void close() {
        channel.close();
    }
}
