package org.ragwortpitch.gateway;

import java.lang.System.Logger;
import org.apache.pekko.stream.KillSwitch;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Records the outcome of one model call in metrics, in the log and in the registry of active calls. Belongs to one
 * stream.
 */
final class CompletionRecorder {

    private static final Logger LOGGER = System.getLogger(CompletionRecorder.class.getName());

    private final CallContext context;

    private final ServerMetrics metrics;

    /**
     * Whether to count a failure as a refusal. True for streaming responses: their status has already been sent, so
     * {@link CallerHandler} doesn't see the failure.
     */
    private final boolean countsRefusals;

    private volatile KillSwitch killSwitch;

    /**
     * Whether the finish event is being sent, which makes the call a success.
     */
    private volatile boolean finishRecorded;

    CompletionRecorder(CallContext context, ServerMetrics metrics, boolean countsRefusals) {
        this.context = context;
        this.metrics = metrics;
        this.countsRefusals = countsRefusals;
    }

    /**
     * Records that the call started.
     *
     * @param startedKillSwitch aborts the call
     */
    void callStarted(KillSwitch startedKillSwitch) {
        killSwitch = startedKillSwitch;
    }

    /**
     * Records that the finish event is being sent.
     */
    void finishRecorded() {
        finishRecorded = true;
    }

    /**
     * Records that the call ended and unregisters it.
     *
     * @param active  the calls in progress
     * @param failure the cause of the failure; null if the stream completed or was cancelled
     */
    void callEnded(ActiveCalls active, Throwable failure) {
        active.end(killSwitch);
        String requestClass = context.route().requestClass();
        long nanos = System.nanoTime() - context.startedNanos();
        if (finishRecorded) {
            metrics.answered(context.accountId(), requestClass, nanos);
        } else if (failure == null) {
            metrics.cancelled(context.accountId(), requestClass);
            log("cancelled");
        } else {
            RefusedException refused = ErrorAnswers.refusalOf(failure);
            if (countsRefusals) {
                metrics.refused(context.accountId(), requestClass, refused.kind());
            }
            log(refused.kind().name());
        }
    }

    private void log(String outcome) {
        Event.of("answer-not-finished")
                .with("request", context.requestId())
                .with("account", context.accountId())
                .with("outcome", outcome)
                .info(LOGGER);
    }
}
