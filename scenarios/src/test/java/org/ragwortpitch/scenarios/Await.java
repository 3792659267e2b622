package org.ragwortpitch.scenarios;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Polls a condition until it holds.
 */
final class Await {

    private static final long POLL_MILLIS = 20;

    private Await() {}

    /**
     * Polls a condition until it holds; fails the test if it does not hold in time. An exception from the condition
     * counts as not yet held, and the last one is part of the failure message.
     *
     * @param what what is awaited, for the failure message
     * @return the time waited, in milliseconds
     */
    static long until(String what, long withinMillis, Callable<Boolean> condition) {
        long startNanos = System.nanoTime();
        String lastException = "";
        while (elapsedMillis(startNanos) <= withinMillis) {
            try {
                if (condition.call()) {
                    return elapsedMillis(startNanos);
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            } catch (Exception exception) {
                lastException = String.valueOf(exception);
            }
        }
        return fail(what + " did not happen within " + withinMillis + " ms " + lastException);
    }

    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
