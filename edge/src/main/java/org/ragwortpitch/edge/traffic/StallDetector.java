package org.ragwortpitch.edge.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Detects an endpoint that sends no data, neither for this request nor for any other. An endpoint that answers other
 * requests is busy rather than stalled, and a retry on another endpoint would only add load.
 */
final class StallDetector {

    private final TrafficContext context;
    private final long stallMillis;
    private final Runnable onStall;
    private ScheduledFuture<?> timer;
    private EndpointState watched;
    private long startedMillis;

    /**
     * Prepares a detector; {@link #watch} starts it.
     *
     * @param stallMillis time without data after which an endpoint counts as stalled, in milliseconds
     * @param onStall     called on the traffic thread; the detector then stays stopped until it is started again
     */
    StallDetector(TrafficContext context, long stallMillis, Runnable onStall) {
        this.context = context;
        this.stallMillis = stallMillis;
        this.onStall = onStall;
    }

    /**
     * Starts to watch an endpoint to which a request was just sent, instead of the one before.
     */
    void watch(EndpointState endpoint, long nowMillis) {
        watched = endpoint;
        startedMillis = nowMillis;
        restart();
    }

    /**
     * Returns the time since the watched endpoint was sent the request, in milliseconds.
     */
    long elapsedMillis() {
        return now() - startedMillis;
    }

    /**
     * Restarts the timer after data has arrived.
     */
    void restart() {
        stop();
        timer = context.loop().schedule(this::check, stallMillis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check() {
        if (startedMillis + stallMillis > now() || watched.lastActivityMillis() + stallMillis > now()) {
            restart();
        } else {
            onStall.run();
        }
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
