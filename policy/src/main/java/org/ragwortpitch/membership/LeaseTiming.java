package org.ragwortpitch.membership;

/**
 * The times of the membership lease.
 *
 * @param ttlMillis     how long a lease lasts, counted from before its renewal was sent
 * @param renewMillis   how often a member renews
 * @param driftPermille by how much two monotonic clocks may differ in rate, in thousandths
 * @param marginMillis  what an observer waits beyond the lease
 */
public record LeaseTiming(long ttlMillis, long renewMillis, long driftPermille, long marginMillis) {

    /**
     * Makes timing that is consistent in itself.
     *
     * @param ttlMillis     how long a lease lasts
     * @param renewMillis   how often a member renews
     * @param driftPermille the bound on clock drift, in thousandths
     * @param marginMillis  what an observer waits beyond the lease
     * @return the timing
     * @throws InvalidLeaseTimingException if the times do not fit together
     */
    public static LeaseTiming of(long ttlMillis, long renewMillis, long driftPermille, long marginMillis)
            throws InvalidLeaseTimingException {
        if (renewMillis <= 0 || ttlMillis < 3 * renewMillis) {
            throw new InvalidLeaseTimingException("a lease of " + ttlMillis + " ms is shorter than three renewals of "
                    + renewMillis + " ms: raise the lease or renew more often");
        }
        if (driftPermille < 0 || driftPermille > 500) {
            throw new InvalidLeaseTimingException(
                    "a clock drift of " + driftPermille + " thousandths is not within 0 and 500");
        }
        if (marginMillis < 0) {
            throw new InvalidLeaseTimingException("a negative margin of " + marginMillis + " ms: use 0 or more");
        }
        return new LeaseTiming(ttlMillis, renewMillis, driftPermille, marginMillis);
    }

    /**
     * How many times longer a newcomer waits.
     */
    private static final long NEWCOMER_FACTOR = 20;

    /**
     * Tells how long an observer waits before it may declare a member gone that has never taken note of it.
     *
     * @return the wait, in milliseconds
     */
    public long newcomerWaitMillis() {
        return NEWCOMER_FACTOR * observerWaitMillis();
    }

    /**
     * Tells how long an observer waits after first reading a renewal before it may declare the member gone.
     *
     * @return the wait, in milliseconds
     */
    public long observerWaitMillis() {
        return ttlMillis + (ttlMillis * driftPermille + 999) / 1000 + marginMillis;
    }
}
