package org.ragwortpitch.server;

import java.lang.System.Logger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.control.ShutdownStep;
import org.ragwortpitch.gateway.ActiveCalls;
import org.ragwortpitch.logging.Event;

/**
 * Graceful shutdown of a daemon.
 *
 * @param settings the settings
 * @param clocks   the clocks
 * @param active   the calls in progress
 * @param control  sends messages to the control thread
 * @param callers  the binding for callers
 */
record Drain(
        DaemonSettings settings,
        Clocks clocks,
        ActiveCalls active,
        Consumer<ControlMessage> control,
        ServerBinding callers) {

    private static final Logger LOGGER = System.getLogger(Drain.class.getName());

    /**
     * Interval at which the number of calls in progress is polled, in milliseconds.
     */
    private static final long POLL_INTERVAL_MILLIS = 20;

    /**
     * Shuts down gracefully: announces the departure to all members, keeps accepting calls until cached addresses have
     * expired and calls in progress have finished, then releases what the daemon holds and leaves the membership.
     *
     * <p>The waits end early at the drain timeout.
     */
    void run() {
        Event.of("drain-begin").with("requests", active.size()).info(LOGGER);
        announceAndWait(false);
        long addressesExpiredMillis = clocks.nowMillis() + settings.traffic().addressCacheMillis();
        long endMillis = clocks.nowMillis() + settings.traffic().drainMillis();
        while (clocks.nowMillis() < endMillis && (active.size() > 0 || clocks.nowMillis() < addressesExpiredMillis)) {
            pause();
        }
        callers.unbind().toCompletableFuture().join();
        while (clocks.nowMillis() < endMillis && active.size() > 0) {
            pause();
        }
        announceAndWait(true);
        Event.of("drain-end").with("requests", active.size()).info(LOGGER);
    }

    /**
     * Asks the control thread to announce the departure or to leave, and waits for its reply for at most one platform
     * timeout.
     *
     * @param last whether to leave the membership, rather than only to stop taking new callers
     */
    private void announceAndWait(boolean last) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        control.accept(new ShutdownStep(last, done));
        done.completeOnTimeout(false, settings.network().platformTimeoutMillis(), TimeUnit.MILLISECONDS)
                .join();
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
