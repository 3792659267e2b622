package org.ragwortpitch.edge.control;

import java.util.function.LongSupplier;

/**
 * A clock that never goes back and also counts the time for which the instance stood still, which the monotonic clock
 * leaves out. Where the wall clock is ahead of it by more than drift explains, the wall clock's step is taken: at worst
 * a lease ends too early. Confined to one thread.
 */
final class LeaseClock implements LongSupplier {

    /** A step of the wall clock from which on it counts as a freeze, in milliseconds; far above drift. */
    private static final long STEP_MILLIS = 200;

    private final LongSupplier steadyMillis;
    private final LongSupplier wallMillis;
    private long lastSteadyMillis;
    private long lastWallMillis;
    private long nowMillis;

    LeaseClock(LongSupplier steadyMillis, LongSupplier wallMillis) {
        this.steadyMillis = steadyMillis;
        this.wallMillis = wallMillis;
        this.lastSteadyMillis = steadyMillis.getAsLong();
        this.lastWallMillis = wallMillis.getAsLong();
    }

    @Override
    public long getAsLong() {
        long steady = steadyMillis.getAsLong();
        long wall = wallMillis.getAsLong();
        long steadyStep = steady - lastSteadyMillis;
        long wallStep = wall - lastWallMillis;
        lastSteadyMillis = steady;
        lastWallMillis = wall;
        nowMillis += wallStep > steadyStep + STEP_MILLIS ? wallStep : steadyStep;
        return nowMillis;
    }
}
