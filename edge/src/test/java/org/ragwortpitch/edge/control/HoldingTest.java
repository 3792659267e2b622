package org.ragwortpitch.edge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests when a daemon may carry duties out.
 */
class HoldingTest {

    private final Holding holding = new Holding(3_000, 3_000, true, 0);

    @Test
    void testDaemonWaitsAfterItsStart() {
        holding.answered(true, 5, 0, 10);
        assertFalse(holding.mayAct(2_999));
        holding.answered(true, 5, 2_000, 2_010);
        assertTrue(holding.mayAct(3_000));
    }

    @Test
    void testHoldingEndsByTheTimeOfTheCall() {
        holding.answered(true, 5, 4_000, 6_500);
        assertTrue(holding.mayAct(6_999));
        assertFalse(holding.mayAct(7_000));
    }

    @Test
    void testAnotherHolderMayActAtOnce() {
        holding.answered(false, 5, 9_000, 9_010);
        holding.answered(true, 6, 10_000, 10_010);
        assertTrue(holding.mayAct(10_010));
        assertEquals(6, holding.fencingToken());
    }

    @Test
    void testInterruptedHolderWaitsFromItsLastAct() {
        holding.answered(true, 5, 4_000, 4_010);
        assertTrue(holding.mayAct(4_500));
        holding.answered(false, 6, 5_000, 5_010);
        holding.answered(true, 7, 5_500, 5_510);
        assertFalse(holding.mayAct(7_499));
        assertTrue(holding.mayAct(7_500));
    }

    @Test
    void testLapsedHolderCountsAsInterrupted() {
        holding.answered(true, 5, 4_000, 4_010);
        assertTrue(holding.mayAct(6_900));
        holding.answered(true, 5, 7_500, 7_510);
        assertFalse(holding.mayAct(9_899));
        assertTrue(holding.mayAct(9_900));
    }

    @Test
    void testRefusedHolderStops() {
        holding.answered(true, 5, 4_000, 4_010);
        holding.lost();
        assertFalse(holding.mayAct(4_020));
    }

    @Test
    void testWithoutFencingEachNewHolderWaits() {
        Holding unfenced = new Holding(3_000, 3_000, false, 0);
        unfenced.answered(true, 6, 10_000, 10_010);
        assertFalse(unfenced.mayAct(12_900));
        unfenced.answered(true, 6, 12_000, 12_010);
        assertTrue(unfenced.mayAct(13_010));
    }

    @Test
    void testClockCountsAFreeze() {
        long[] times = {0, 1_000};
        LeaseClock clock = new LeaseClock(() -> times[0], () -> times[1]);
        times[0] = 100;
        times[1] = 1_100;
        assertEquals(100, clock.getAsLong());
        times[0] = 150;
        times[1] = 6_100;
        assertEquals(5_100, clock.getAsLong(), "the wall clock went on while the other stood still");
        times[0] = 250;
        times[1] = 2_000;
        assertEquals(5_200, clock.getAsLong(), "a wall clock set back doesn't prolong a lease");
    }
}
