package org.ragwortpitch.scenarios;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Waits for what must come to be true.
 */
final class Await {

    private static final long LOOK_MILLIS = 20;

    private Await() {}

    /**
     * Waits until a condition holds, and tells how long that took in milliseconds.
     */
    static long until(String what, long withinMillis, Callable<Boolean> condition) {
        long startNanos = System.nanoTime();
        String last = "";
        while (elapsedMillis(startNanos) <= withinMillis) {
            try {
                if (condition.call()) {
                    return elapsedMillis(startNanos);
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            } catch (Exception exception) {
                last = String.valueOf(exception);
            }
        }
        return fail(what + " did not come within " + withinMillis + " ms " + last);
    }

    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
