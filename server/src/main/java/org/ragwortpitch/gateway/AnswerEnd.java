package org.ragwortpitch.gateway;

import java.lang.System.Logger;
import org.apache.pekko.stream.KillSwitch;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.metrics.ServerMetrics;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Notes how one answer ends. Used by one stream.
 */
final class AnswerEnd {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(AnswerEnd.class.getName());

    /**
     * The call.
     */
    private final CallContext context;

    /**
     * The metrics.
     */
    private final ServerMetrics metrics;

    /**
     * Whether a failure is counted here, since nobody else sees it.
     */
    private final boolean countsFailure;

    /**
     * What ends the call.
     */
    private volatile KillSwitch killSwitch;

    /**
     * Whether the finish has gone out.
     */
    private volatile boolean finished;

    /**
     * Makes an end that has not come.
     *
     * @param context       the call
     * @param metrics       the metrics
     * @param countsFailure whether a failure is counted here
     */
    AnswerEnd(CallContext context, ServerMetrics metrics, boolean countsFailure) {
        this.context = context;
        this.metrics = metrics;
        this.countsFailure = countsFailure;
    }

    /**
     * Notes that the call has begun.
     *
     * @param begun what ends the call
     */
    void begun(KillSwitch begun) {
        killSwitch = begun;
    }

    /**
     * Notes that the finish goes out.
     */
    void finished() {
        finished = true;
    }

    /**
     * Notes that the call has ended.
     *
     * @param active  the calls under way
     * @param failure why it failed; null if it did not
     */
    void ended(ActiveCalls active, Throwable failure) {
        active.end(killSwitch);
        String requestClass = context.route().requestClass();
        long nanos = System.nanoTime() - context.startedNanos();
        if (finished) {
            metrics.answered(context.accountId(), requestClass, nanos);
        } else if (failure == null) {
            metrics.cancelled(context.accountId(), requestClass);
            log("cancelled");
        } else {
            RefusedException refused = ErrorAnswers.refusalOf(failure);
            if (countsFailure) {
                metrics.refused(context.accountId(), requestClass, refused.kind());
            }
            log(refused.kind().name());
        }
    }

    /**
     * Logs an end that is no finish.
     *
     * @param outcome how the call ended
     */
    private void log(String outcome) {
        Event.of("answer-not-finished")
                .with("request", context.requestId())
                .with("account", context.accountId())
                .with("outcome", outcome)
                .info(LOGGER);
    }
}
