package org.ragwortpitch.control;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clocks of a process.
 *
 * @param monotonicMillis the monotonic clock, in milliseconds
 * @param wallMillis      the wall clock, in milliseconds since the epoch
 */
public record Clocks(LongSupplier monotonicMillis, LongSupplier wallMillis) {

    /**
     * The clocks of the machine.
     */
    public static final Clocks SYSTEM =
            new Clocks(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System::currentTimeMillis);

    /**
     * Reads the monotonic clock.
     *
     * @return the present time, in milliseconds
     */
    public long nowMillis() {
        return monotonicMillis.getAsLong();
    }

    /**
     * Reads the wall clock.
     *
     * @return the present time, in milliseconds since the epoch
     */
    public long epochMillis() {
        return wallMillis.getAsLong();
    }
}
