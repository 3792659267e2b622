package org.ragwortpitch.control;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The monotonic clock and the wall clock of a process.
 *
 * @param monotonicMillis the monotonic clock, in milliseconds from an arbitrary origin
 * @param wallMillis      the wall clock, in milliseconds since the epoch
 */
public record Clocks(LongSupplier monotonicMillis, LongSupplier wallMillis) {

    /**
     * The clocks of the operating system.
     */
    public static final Clocks SYSTEM =
            new Clocks(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System::currentTimeMillis);

    /**
     * Reads the monotonic clock.
     *
     * @return the time in milliseconds from an arbitrary origin
     */
    public long nowMillis() {
        return monotonicMillis.getAsLong();
    }

    /**
     * Reads the wall clock.
     *
     * @return the time in milliseconds since the epoch
     */
    public long epochMillis() {
        return wallMillis.getAsLong();
    }
}
