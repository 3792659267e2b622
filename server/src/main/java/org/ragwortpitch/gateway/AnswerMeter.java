package org.ragwortpitch.gateway;

import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * Times the tokens of one answer. Used by one stream.
 */
final class AnswerMeter {

    /**
     * The call.
     */
    private final CallContext context;

    /**
     * The metrics.
     */
    private final ServerMetrics metrics;

    /**
     * When the last token came, in nanoseconds; 0 before the first.
     */
    private long lastNanos;

    /**
     * Makes a meter.
     *
     * @param context the call
     * @param metrics the metrics
     */
    AnswerMeter(CallContext context, ServerMetrics metrics) {
        this.context = context;
        this.metrics = metrics;
    }

    /**
     * Notes an event.
     *
     * @param event the event
     * @return the event
     */
    EngineEvent note(EngineEvent event) {
        if (event.finishes()) {
            return event;
        }
        long nowNanos = System.nanoTime();
        String requestClass = context.route().requestClass();
        if (lastNanos == 0) {
            metrics.firstToken(context.accountId(), requestClass, nowNanos - context.startedNanos());
        } else {
            metrics.betweenTokens(context.accountId(), requestClass, nowNanos - lastNanos);
        }
        lastNanos = nowNanos;
        return event;
    }
}
