package org.ragwortpitch.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * The pending calls of one connection. Thread-safe.
 */
final class CallTable {

    private final AtomicLong lastCallId = new AtomicLong();

    private final Map<Long, CompletableFuture<Frame>> pending = new ConcurrentHashMap<>();

    /**
     * Registers a call and assigns its id, which correlates the response with it.
     *
     * @param response completed with the response; the call is removed when it completes in any way
     * @return the id, unique within the connection
     */
    long begin(CompletableFuture<Frame> response) {
        long call = lastCallId.incrementAndGet();
        pending.put(call, response);
        response.whenComplete((frame, failure) -> pending.remove(call));
        return call;
    }

    /**
     * Completes a call with its response. Drops the response if the call has already ended, such as by a timeout.
     */
    void complete(Frame frame) {
        CompletableFuture<Frame> response = pending.remove(frame.getCall());
        if (response != null) {
            response.complete(frame);
        }
    }

    /**
     * Fails all pending calls with {@link PeerException} because the connection was lost.
     */
    void fail(String address) {
        pending.values()
                .forEach(response ->
                        response.completeExceptionally(new PeerException("connection to " + address + " was lost")));
    }
}
