package org.ragwortpitch.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * A client connection to one other daemon.
 */
final class PeerConnection {

    private final String address;

    private final CallTable calls;

    private final CompletableFuture<Session> connectedSession = new CompletableFuture<>();

    private final Session session;

    private final Channel channel;

    /**
     * Starts to connect.
     *
     * @param bootstrap connects with a handler that installs the session
     * @param session   the session that the handler installs
     * @param calls     the pending calls of this connection
     * @param address   the address of the other daemon, as host and port
     */
    PeerConnection(Bootstrap bootstrap, Session session, CallTable calls, String address) {
        this.address = address;
        this.calls = calls;
        this.session = session;
        int colon = address.lastIndexOf(':');
        ChannelFuture connecting =
                bootstrap.connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        this.channel = connecting.channel();
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                connectedSession.complete(session);
            } else {
                connectedSession.completeExceptionally(new PeerException("cannot connect to " + address));
            }
        });
        channel.closeFuture().addListener(future -> {
            connectedSession.completeExceptionally(new PeerException("cannot connect to " + address));
            calls.fail(address);
        });
    }

    /**
     * Calls the other daemon. Closes the connection if the call times out and no frame has arrived since it was made.
     *
     * @param timeoutMillis until the call fails, in milliseconds
     * @return the response; fails with {@link PeerException}, or with {@link TimeoutException} after the timeout
     */
    CompletableFuture<Frame> call(Frame body, long timeoutMillis) {
        CompletableFuture<Frame> response = new CompletableFuture<>();
        long call = calls.begin(response);
        long calledNanos = System.nanoTime();
        connectedSession.whenComplete((connected, failure) -> {
            if (failure != null) {
                response.completeExceptionally(failure);
            } else {
                connected.send(body.toBuilder().setCall(call).setAnswer(false).build());
            }
        });
        if (!channel.isOpen()) {
            calls.fail(address);
        }
        return response.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((frame, failure) -> {
            boolean receivedNothing = session.lastReceivedNanos() - calledNanos < 0;
            if (failure instanceof TimeoutException && expectsResponse(body) && receivedNothing) {
                channel.close();
            }
        });
    }

    /**
     * Returns whether a call expects a response. If none comes, and no other frame either, the connection is considered
     * dead; the timeout of a one-way message shows nothing.
     */
    private static boolean expectsResponse(Frame body) {
        return !body.hasLoanSettled() && !body.hasShareSurrender() && !body.hasSuspect();
    }

    /**
     * Returns whether the connection is open or being established.
     */
    boolean isOpen() {
        return channel.isOpen();
    }

    void close() {
        channel.close();
    }
}
