package org.ragwortpitch.edge.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.response.ResponseOrigin;

/**
 * Skips the responses that stand where the answer to a pending request is due, and limits their number, the time that
 * each may take, and the time in which the answer has to follow one that bears no attempt id. Confined to its
 * executor's thread.
 */
final class ResponseSkipper {

    /** A peer that sends more before the answer has lost track. */
    private static final int MAX_RESPONSES = 16;

    /** Time until the end of a skipped response; one that is shorter than it states takes the answer for its body. */
    private static final long RESPONSE_MILLIS = 1_000;

    /** Time for the answer to follow a sealed response without an id, which is the copy of an earlier answer. */
    private static final long ANSWER_MILLIS = 3_000;

    /** Time for the answer to follow an unsealed response without an id, which may be the answer itself. */
    private static final long ANSWER_AFTER_UNSEALED_MILLIS = 1_000;

    private final Consumer<String> onFailure;
    private boolean skipping;
    private int skipped;
    private HttpResponse unidentified;
    private Future<?> timer;

    /**
     * Creates a skipper without a pending request.
     *
     * @param onFailure called with the reason if the answer can't be expected any more
     */
    ResponseSkipper(Consumer<String> onFailure) {
        this.onFailure = onFailure;
    }

    /**
     * Prepares for the responses to another request.
     */
    void reset() {
        stop();
        skipping = false;
        skipped = 0;
        unidentified = null;
    }

    /**
     * Ends all time limits, as the answer has begun or the request has ended.
     */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /**
     * Begins to skip a response.
     *
     * @param origin which request it may answer
     */
    void skip(HttpResponse head, ResponseOrigin origin, EventExecutor executor) {
        skipping = true;
        skipped++;
        if (origin == ResponseOrigin.UNKNOWN) {
            unidentified = head;
        }
        if (skipped > MAX_RESPONSES) {
            onFailure.accept("more than " + MAX_RESPONSES + " responses that are not the answer");
        } else {
            failAfter(RESPONSE_MILLIS, "a response that is not the answer did not end in time", executor);
        }
    }

    boolean isSkipping() {
        return skipping;
    }

    /**
     * Ends the response that is being skipped.
     */
    void end(EventExecutor executor) {
        skipping = false;
        stop();
        if (unidentified != null) {
            boolean sealed = unidentified.headers().contains(Headers.SEAL);
            failAfter(
                    sealed ? ANSWER_MILLIS : ANSWER_AFTER_UNSEALED_MILLIS,
                    "no answer after a response without an attempt id on a connection that carried another request:"
                            + " status " + unidentified.status().code(),
                    executor);
        }
    }

    private void failAfter(long millis, String reason, EventExecutor executor) {
        stop();
        timer = executor.schedule(() -> onFailure.accept(reason), millis, TimeUnit.MILLISECONDS);
    }
}
