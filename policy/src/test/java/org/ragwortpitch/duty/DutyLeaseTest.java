package org.ragwortpitch.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests when a daemon may carry out duties. Two daemons must not alternate within the wait, and a daemon that was
 * frozen must not act on a lease that has expired meanwhile.
 */
class DutyLeaseTest {

    private final DutyLease lease = new DutyLease(3_000, 3_000, true, 0);

    @Test
    void testStartedDaemonWaitsBeforeActing() {
        lease.onJoined(true, 5, 0, 10);
        assertFalse(lease.mayAct(2_999));
        lease.onJoined(true, 5, 2_000, 2_010);
        assertTrue(lease.mayAct(3_000));
    }

    @Test
    void testLeaseRunsFromTheTimeOfTheCall() {
        lease.onJoined(true, 5, 4_000, 6_500);
        assertTrue(lease.mayAct(6_999));
        assertFalse(lease.mayAct(7_000));
    }

    @Test
    void testNewHolderMayActAtOnce() {
        lease.onJoined(false, 5, 9_000, 9_010);
        lease.onJoined(true, 6, 10_000, 10_010);
        assertTrue(lease.mayAct(10_010));
        assertEquals(6, lease.generation());
    }

    @Test
    void testInterruptedHolderWaitsFromItsLastAction() {
        lease.onJoined(true, 5, 4_000, 4_010);
        assertTrue(lease.mayAct(4_500));
        lease.onJoined(false, 6, 5_000, 5_010);
        lease.onJoined(true, 7, 5_500, 5_510);
        assertFalse(lease.mayAct(7_499));
        assertTrue(lease.mayAct(7_500));
    }

    @Test
    void testHolderOfExpiredLeaseWaits() {
        lease.onJoined(true, 5, 4_000, 4_010);
        assertTrue(lease.mayAct(6_900));
        lease.onJoined(true, 5, 7_500, 7_510);
        assertFalse(lease.mayAct(9_899));
        assertTrue(lease.mayAct(9_900));
    }

    @Test
    void testRefusedHolderStops() {
        lease.onJoined(true, 5, 4_000, 4_010);
        lease.release();
        assertFalse(lease.mayAct(4_020));
    }

    @Test
    void testNewHolderWaitsWithoutFencing() {
        DutyLease unfenced = new DutyLease(3_000, 3_000, false, 0);
        unfenced.onJoined(true, 6, 10_000, 10_010);
        assertFalse(unfenced.mayAct(12_900));
        unfenced.onJoined(true, 6, 12_000, 12_010);
        assertTrue(unfenced.mayAct(13_010));
    }

    /** Guards against a holder that pauses the duties each time another daemon joins or leaves the group. */
    @ParameterizedTest
    @CsvSource({"7, true, true", "8, true, false", "7, false, false"})
    void testUnfencedHolderGoesOnInTheNextGenerationOnly(long generation, boolean acted, boolean goesOn) {
        DutyLease unfenced = new DutyLease(3_000, 3_000, false, 0);
        unfenced.onJoined(true, 6, 10_000, 10_010);
        unfenced.onJoined(true, 6, 12_900, 12_910);
        if (acted) {
            assertTrue(unfenced.mayAct(13_100));
        }
        unfenced.onJoined(true, generation, 13_200, 13_210);
        assertEquals(goesOn, unfenced.mayAct(13_220));
    }
}
