package org.ragwortpitch.edge;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.draining.DrainWindow;
import org.ragwortpitch.edge.front.FrontServer;
import org.ragwortpitch.logging.Event;

/**
 * The steps of a planned stop, in time.
 *
 * @param graceMillis  time from the signal to stop until the process is killed, in milliseconds
 * @param clockMillis  the monotonic clock
 * @param servers      the servers whose connections are drained
 * @param drainGateway limits the requests that are still accepted
 * @param recordUsage  hands over the last counts; called on the traffic thread
 */
record GracefulStop(
        long graceMillis,
        LongSupplier clockMillis,
        EventLoop trafficLoop,
        List<FrontServer> servers,
        Consumer<DrainWindow> drainGateway,
        Runnable recordUsage) {

    private static final Logger LOGGER = System.getLogger(GracefulStop.class.getName());

    /** Fraction of the grace period after which idle connections are closed; callers have new addresses by then. */
    private static final double CLOSE_IDLE_FRACTION = 0.7;

    /** Fraction of the grace period after which the process ends, even with requests in progress. */
    private static final double EXIT_FRACTION = 0.93;

    private static final long CHECK_MILLIS = 100;

    /**
     * Stops the daemon. Blocks for most of the grace period.
     *
     * @param leaveDuties releases the duties
     * @throws InterruptedException if the wait is interrupted
     */
    void run(Runnable leaveDuties) throws InterruptedException {
        Event.of("stopping").info(LOGGER);
        long stopMillis = clockMillis.getAsLong();
        long endMillis = stopMillis + (long) (graceMillis * EXIT_FRACTION);
        trafficLoop.execute(() -> {
            servers.forEach(FrontServer::drain);
            drainGateway.accept(new DrainWindow(stopMillis, endMillis));
        });
        leaveDuties.run();
        TimeUnit.MILLISECONDS.sleep((long) (graceMillis * CLOSE_IDLE_FRACTION));
        trafficLoop.execute(recordUsage);
        boolean accepting = true;
        boolean done;
        int connections;
        do {
            trafficLoop.execute(() -> servers.forEach(FrontServer::closeIdle));
            TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
            connections = onTrafficLoop(this::connections);
            boolean outOfTime = clockMillis.getAsLong() >= endMillis;
            // Listening sockets are closed in the event loop's next pass, so connections are counted once more after
            // it: a
            // request that is accepted after the last check would end with the process.
            done = outOfTime || !accepting && connections == 0;
            if (accepting && (connections == 0 || outOfTime)) {
                accepting = false;
                trafficLoop.execute(() -> servers.forEach(FrontServer::stopAccepting));
            }
        } while (!done);
        Event.of("stopped").with("connections", connections).info(LOGGER);
    }

    private int connections() {
        return servers.stream().mapToInt(FrontServer::connections).sum();
    }

    private int onTrafficLoop(Callable<Integer> action) throws InterruptedException {
        try {
            return trafficLoop.submit(action).get();
        } catch (ExecutionException exception) {
            throw new IllegalStateException("the servers can't be stopped", exception);
        }
    }
}
