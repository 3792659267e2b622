package org.ragwortpitch.server;

import java.lang.System.Logger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.ragwortpitch.control.BeginLeaving;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.control.ControlMessage;
import org.ragwortpitch.gateway.ActiveCalls;
import org.ragwortpitch.logging.Event;

/**
 * The graceful shutdown of a daemon.
 *
 * @param settings the settings
 * @param clocks   the clocks
 * @param active   the calls under way
 * @param control  sends messages to the control thread
 * @param callers  the binding for callers
 */
record Drain(
        DaemonSettings settings,
        Clocks clocks,
        ActiveCalls active,
        Consumer<ControlMessage> control,
        ServerBinding callers) {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(Drain.class.getName());

    /**
     * How often to look whether requests are finished, in milliseconds.
     */
    private static final long LOOK_MILLIS = 20;

    /**
     * Shuts down gracefully: tells all members, waits until callers have forgotten the address and requests are
     * finished, gives back what it holds, and leaves.
     */
    void run() {
        Event.of("drain-begin").with("requests", active.size()).info(LOGGER);
        tellAndWait(false);
        long addressesForgottenMillis = clocks.nowMillis() + settings.traffic().addressCacheMillis();
        long endMillis = clocks.nowMillis() + settings.traffic().drainMillis();
        while (clocks.nowMillis() < endMillis && (active.size() > 0 || clocks.nowMillis() < addressesForgottenMillis)) {
            pause();
        }
        callers.unbind().toCompletableFuture().join();
        while (clocks.nowMillis() < endMillis && active.size() > 0) {
            pause();
        }
        tellAndWait(true);
        Event.of("drain-end").with("requests", active.size()).info(LOGGER);
    }

    /**
     * Tells the control thread to leave, and waits for the log to take it.
     *
     * @param last whether to depart, rather than only to take no new callers
     */
    private void tellAndWait(boolean last) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        control.accept(new BeginLeaving(last, done));
        done.completeOnTimeout(false, settings.network().platformTimeoutMillis(), TimeUnit.MILLISECONDS)
                .join();
    }

    /**
     * Waits a little.
     */
    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
