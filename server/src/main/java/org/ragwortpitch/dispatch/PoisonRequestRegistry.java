package org.ragwortpitch.dispatch;

import java.lang.System.Logger;
import java.util.function.ObjIntConsumer;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.poison.Fingerprint;
import org.ragwortpitch.poison.PoisonRequestTracker;
import org.ragwortpitch.poison.Suspicion;

/**
 * Tracks poison requests, which crash the endpoints that run them, and notifies other daemons of each crash.
 * Thread-safe.
 */
public final class PoisonRequestRegistry {

    private static final Logger LOGGER = System.getLogger(PoisonRequestRegistry.class.getName());

    /**
     * The tracked requests; guarded by its own monitor.
     */
    private final PoisonRequestTracker tracker = new PoisonRequestTracker();

    private final Clocks clocks;

    /**
     * Sends a request's fingerprint and its number of crashes to the other daemons.
     */
    private final ObjIntConsumer<Fingerprint> crashNotifier;

    /**
     * Creates a registry without suspected requests.
     *
     * @param clocks the clocks
     * @param crashNotifier sends a request's fingerprint and its number of crashes to the other daemons
     */
    public PoisonRequestRegistry(Clocks clocks, ObjIntConsumer<Fingerprint> crashNotifier) {
        this.clocks = clocks;
        this.crashNotifier = crashNotifier;
    }

    /**
     * Records that a request was running when an endpoint crashed, and notifies the other daemons.
     */
    public void crashed(Fingerprint request) {
        int crashes;
        synchronized (tracker) {
            crashes = tracker.crashed(request, clocks.nowMillis());
        }
        crashNotifier.accept(request, crashes);
        Event.of("request-suspected")
                .with("fingerprint", request.value())
                .with("crashes", crashes)
                .warn(LOGGER);
    }

    /**
     * Merges a report of another daemon.
     *
     * @param crashes the number of crashes during which the request was running
     */
    public void merge(Fingerprint request, int crashes) {
        synchronized (tracker) {
            tracker.learn(request, crashes, clocks.nowMillis());
        }
    }

    /**
     * Records that a request has finished successfully.
     */
    public void finished(Fingerprint request) {
        synchronized (tracker) {
            tracker.finished(request, clocks.nowMillis());
        }
    }

    /**
     * Returns whether a request is cleared, suspected or refused.
     */
    public Suspicion suspicion(Fingerprint request) {
        synchronized (tracker) {
            return tracker.suspicion(request, clocks.nowMillis());
        }
    }
}
