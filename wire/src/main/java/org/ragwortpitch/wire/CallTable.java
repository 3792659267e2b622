package org.ragwortpitch.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortpitch.wire.generated.PeerProtocol.Frame;

/**
 * The calls of one connection that await their answers. Safe for use by many threads.
 */
final class CallTable {

    /**
     * The number of the last call.
     */
    private final AtomicLong lastCall = new AtomicLong();

    /**
     * Who awaits each call's answer.
     */
    private final Map<Long, CompletableFuture<Frame>> awaited = new ConcurrentHashMap<>();

    /**
     * Begins a call.
     *
     * @param answer gets the answer
     * @return the call's number
     */
    long begin(CompletableFuture<Frame> answer) {
        long call = lastCall.incrementAndGet();
        awaited.put(call, answer);
        answer.whenComplete((frame, failure) -> awaited.remove(call));
        return call;
    }

    /**
     * Takes an answer. One that nobody awaits any more is dropped.
     *
     * @param frame the answer
     */
    void answered(Frame frame) {
        CompletableFuture<Frame> answer = awaited.remove(frame.getCall());
        if (answer != null) {
            answer.complete(frame);
        }
    }

    /**
     * Fails all calls, since the connection is lost.
     *
     * @param address the other side's address
     */
    void fail(String address) {
        awaited.values()
                .forEach(answer ->
                        answer.completeExceptionally(new PeerException("the connection to " + address + " is lost")));
    }
}
