package org.ragwortpitch.edge.task;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.logging.Event;

/**
 * Confines the failure of an action to that action. An event loop drops a periodic task silently after its first
 * exception, and a chain of calls ends with a callback that throws. Confined to one thread.
 */
public final class FaultBarrier {

    private static final Logger LOGGER = System.getLogger(FaultBarrier.class.getName());

    private final String task;
    private long failures;

    /**
     * Creates a barrier.
     *
     * @param task names the work in the log
     */
    public FaultBarrier(String task) {
        this.task = task;
    }

    /**
     * Runs an action periodically on an event loop: a run that fails is logged and doesn't end the others.
     *
     * @param task   names the work in the log
     * @param millis pause between runs, in milliseconds
     */
    public static ScheduledFuture<?> schedule(EventLoop loop, String task, long millis, Runnable action) {
        FaultBarrier barrier = new FaultBarrier(task);
        return loop.scheduleWithFixedDelay(() -> barrier.run("-", action), millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action, and logs its failure.
     *
     * @param subject what the action is applied to, for the log
     */
    public void run(Object subject, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError failure) {
            failures++;
            // Logs the first failures and then ever fewer of them, as a task may fail many times a second.
            if (Long.bitCount(failures) == 1) {
                Event.of("task-failed")
                        .with("task", task)
                        .with("subject", subject)
                        .with("failures", failures)
                        .with("reason", failure)
                        .with("at", failure.getStackTrace().length == 0 ? "-" : failure.getStackTrace()[0])
                        .warn(LOGGER);
            }
        }
    }
}
