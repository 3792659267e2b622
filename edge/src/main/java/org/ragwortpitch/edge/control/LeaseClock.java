package org.ragwortpitch.edge.control;

import java.util.function.LongSupplier;

/**
 * Monotonic clock that includes the time for which the instance was frozen, which the system's monotonic clock omits.
 * Where the wall clock has advanced further than drift explains, its step is used; at worst, a lease ends too early.
 * Confined to one thread.
 */
final class LeaseClock implements LongSupplier {

    /** Lead of the wall clock's step above which it counts as a freeze, in milliseconds; far above drift. */
    private static final long MIN_FREEZE_MILLIS = 200;

    private final LongSupplier monotonicMillis;
    private final LongSupplier wallMillis;
    private long lastMonotonicMillis;
    private long lastWallMillis;
    private long nowMillis;

    LeaseClock(LongSupplier monotonicMillis, LongSupplier wallMillis) {
        this.monotonicMillis = monotonicMillis;
        this.wallMillis = wallMillis;
        this.lastMonotonicMillis = monotonicMillis.getAsLong();
        this.lastWallMillis = wallMillis.getAsLong();
    }

    @Override
    public long getAsLong() {
        long monotonic = monotonicMillis.getAsLong();
        long wall = wallMillis.getAsLong();
        long monotonicStep = monotonic - lastMonotonicMillis;
        long wallStep = wall - lastWallMillis;
        lastMonotonicMillis = monotonic;
        lastWallMillis = wall;
        nowMillis += wallStep > monotonicStep + MIN_FREEZE_MILLIS ? wallStep : monotonicStep;
        return nowMillis;
    }
}
