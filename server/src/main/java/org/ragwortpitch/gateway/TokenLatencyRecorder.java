package org.ragwortpitch.gateway;

import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.metrics.ServerMetrics;

/**
 * Measures the time to first token and the time between tokens of one response. Belongs to one stream.
 */
final class TokenLatencyRecorder {

    private final CallContext context;

    private final ServerMetrics metrics;

    /**
     * When the last token arrived, by {@link System#nanoTime}; 0 before the first.
     */
    private long lastTokenNanos;

    TokenLatencyRecorder(CallContext context, ServerMetrics metrics) {
        this.context = context;
        this.metrics = metrics;
    }

    /**
     * Records the latency of a token; ignores the finish event.
     *
     * @param event the event
     * @return the same event
     */
    EngineEvent record(EngineEvent event) {
        if (event.endsStream()) {
            return event;
        }
        long nowNanos = System.nanoTime();
        String requestClass = context.route().requestClass();
        if (lastTokenNanos == 0) {
            metrics.firstToken(context.accountId(), requestClass, nowNanos - context.startedNanos());
        } else {
            metrics.betweenTokens(context.accountId(), requestClass, nowNanos - lastTokenNanos);
        }
        lastTokenNanos = nowNanos;
        return event;
    }
}
