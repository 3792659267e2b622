package org.ragwortpitch.edge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against a lease that outlasts a freeze of the instance, or that is extended as the wall clock is set back.
 */
class LeaseClockTest {

    @Test
    void testLeaseClockCountsAFreeze() {
        long[] times = {0, 1_000};
        LeaseClock clock = new LeaseClock(() -> times[0], () -> times[1]);
        times[0] = 100;
        times[1] = 1_100;
        assertEquals(100, clock.getAsLong());
        times[0] = 150;
        times[1] = 6_100;
        assertEquals(5_100, clock.getAsLong(), "the wall clock advanced while the monotonic one stood still");
        times[0] = 250;
        times[1] = 2_000;
        assertEquals(5_200, clock.getAsLong(), "setting the wall clock back doesn't extend a lease");
    }
}
