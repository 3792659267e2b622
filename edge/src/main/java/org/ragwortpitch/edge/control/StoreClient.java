package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.contract.HttpCall;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.CallAnswer;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.logging.Event;

/**
 * Calls the platform's store, and knows since when it can be reached. Confined to the control thread.
 */
final class StoreClient {

    private static final Logger LOGGER = System.getLogger(StoreClient.class.getName());

    /** How long an answer may take besides what the store was asked to wait, in milliseconds; usual answers take 4. */
    private static final long ANSWER_MILLIS = 1_500;

    /** The same while the store can't be reached, in milliseconds, so that its return shows soon. */
    private static final long LOST_ANSWER_MILLIS = 600;

    private static final int FIRST_SERVER_ERROR = 500;

    private static final int TOO_MANY = 429;

    private final HttpCaller caller;
    private final String address;
    private final LongSupplier clockMillis;
    private final EdgeMetrics metrics;
    private boolean reached;
    private long reachedSinceMillis;

    StoreClient(HttpCaller caller, String address, LongSupplier clockMillis, EdgeMetrics metrics) {
        this.caller = caller;
        this.address = address;
        this.clockMillis = clockMillis;
        this.metrics = metrics;
    }

    /**
     * Makes a call.
     *
     * @param waitMillis how long the store was asked to wait, in milliseconds
     * @param answered   hears of an answer that says something of the call
     * @param failed     hears that the store can't be reached, refuses all calls, or that the answer was lost
     */
    void call(HttpCall call, long waitMillis, Consumer<CallAnswer> answered, Consumer<String> failed) {
        caller.call(
                address,
                call,
                reached ? waitMillis + ANSWER_MILLIS : LOST_ANSWER_MILLIS,
                answer -> {
                    if (answer.status() >= FIRST_SERVER_ERROR || answer.status() == TOO_MANY) {
                        lost(call, "status " + answer.status());
                        failed.accept("status " + answer.status());
                    } else {
                        reached(call);
                        answered.accept(answer);
                    }
                },
                breakage -> {
                    lost(call, breakage.reason());
                    failed.accept(breakage.reason());
                });
    }

    /**
     * Tells how long the store has answered without a failure, in milliseconds; 0 while it doesn't.
     */
    long reachedForMillis() {
        return reached ? clockMillis.getAsLong() - reachedSinceMillis : 0;
    }

    boolean isReached() {
        return reached;
    }

    private void reached(HttpCall call) {
        if (!reached) {
            reached = true;
            reachedSinceMillis = clockMillis.getAsLong();
            Event.of("dependency-reached")
                    .with("dependency", "store")
                    .with("call", call.target())
                    .info(LOGGER);
        }
    }

    private void lost(HttpCall call, String reason) {
        if (reached) {
            reached = false;
            metrics.lost("store");
            Event.of("dependency-lost")
                    .with("dependency", "store")
                    .with("call", call.target())
                    .with("reason", reason)
                    .warn(LOGGER);
        }
    }
}
