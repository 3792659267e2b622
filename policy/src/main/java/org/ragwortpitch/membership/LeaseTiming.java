package org.ragwortpitch.membership;

/**
 * The times of the membership lease.
 *
 * @param ttlMillis     how long a lease lasts, counted from before its renewal was sent
 * @param renewMillis   the interval between a member's renewals
 * @param driftPermille the most by which the rates of two monotonic clocks may differ, in thousandths
 * @param marginMillis  how long an observer waits after the lease
 */
public record LeaseTiming(long ttlMillis, long renewMillis, long driftPermille, long marginMillis) {

    /**
     * Creates consistent timing.
     *
     * @param ttlMillis     how long a lease lasts; at least three times {@code renewMillis}
     * @param renewMillis   the interval between a member's renewals; positive
     * @param driftPermille the bound on clock drift, in thousandths; 0 to 500
     * @param marginMillis  how long an observer waits after the lease; not negative
     * @throws InvalidLeaseTimingException if a value is out of its range
     */
    public static LeaseTiming of(long ttlMillis, long renewMillis, long driftPermille, long marginMillis)
            throws InvalidLeaseTimingException {
        if (renewMillis <= 0 || ttlMillis < 3 * renewMillis) {
            throw new InvalidLeaseTimingException(
                    "lease of " + ttlMillis + " ms is shorter than three renewal intervals of " + renewMillis
                            + " ms: increase the lease time or renew more often");
        }
        if (driftPermille < 0 || driftPermille > 500) {
            throw new InvalidLeaseTimingException(
                    "clock drift of " + driftPermille + " thousandths is out of range: use 0 to 500");
        }
        if (marginMillis < 0) {
            throw new InvalidLeaseTimingException("negative lease margin of " + marginMillis + " ms: use 0 or more");
        }
        return new LeaseTiming(ttlMillis, renewMillis, driftPermille, marginMillis);
    }

    /** How many times longer a newcomer waits. */
    private static final long NEWCOMER_FACTOR = 20;

    /**
     * Returns how long an observer waits before it can evict a member that has never acknowledged the observer's join,
     * in milliseconds.
     */
    public long newcomerWaitMillis() {
        return NEWCOMER_FACTOR * observerWaitMillis();
    }

    /** Returns how long after first reading a renewal an observer can evict the member, in milliseconds. */
    public long observerWaitMillis() {
        return ttlMillis + (ttlMillis * driftPermille + 999) / 1000 + marginMillis;
    }
}
