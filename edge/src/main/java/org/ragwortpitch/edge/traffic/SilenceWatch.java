package org.ragwortpitch.edge.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Notices an endpoint that says nothing, neither to this request nor to any other: one that answers others is busy, and
 * starting anew elsewhere would only add to the work.
 */
final class SilenceWatch {

    private final TrafficParts parts;
    private final long millis;
    private final Runnable silent;
    private ScheduledFuture<?> timer;
    private EndpointState asked;
    private long askedMillis;

    /**
     * Prepares a watch.
     *
     * @param millis for how long nothing comes of a silent endpoint, in milliseconds
     */
    SilenceWatch(TrafficParts parts, long millis, Runnable silent) {
        this.parts = parts;
        this.millis = millis;
        this.silent = silent;
    }

    /**
     * Begins to watch an endpoint that was sent something.
     */
    void asked(EndpointState endpoint, long nowMillis) {
        asked = endpoint;
        askedMillis = nowMillis;
        restart();
    }

    /**
     * Tells how long ago the endpoint was sent something, in milliseconds.
     */
    long sinceAskedMillis() {
        return now() - askedMillis;
    }

    /**
     * Begins anew, since something has come.
     */
    void restart() {
        stop();
        timer = parts.loop().schedule(this::look, millis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void look() {
        if (askedMillis + millis > now() || asked.heardMillis() + millis > now()) {
            restart();
        } else {
            silent.run();
        }
    }

    private long now() {
        return parts.clockMillis().getAsLong();
    }
}
