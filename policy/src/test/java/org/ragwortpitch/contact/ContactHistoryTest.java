package org.ragwortpitch.contact;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.contact.SimulatedFleet.Verdict;

/**
 * Plays random histories of fleets whose daemons lose their paths to endpoints.
 */
class ContactHistoryTest {

    private static final int HISTORIES = 300;

    /** How long after a cut its callers have to be served again, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long CUT_MILLIS = 9_000;

    /** How long contact may take to be noticed when paths are back, in milliseconds. */
    private static final long RETURN_MILLIS = 1_000;

    private static Served play(int daemons, long seed, boolean passOn) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedFleet fleet = new SimulatedFleet(daemons, random, Verdict.CONNECTIONS, passOn);
        fleet.run(1_000 + random.nextInt(1_000));
        fleet.cutSome();
        fleet.run(CONTACT_MILLIS);
        fleet.resetCounts();
        fleet.run(CUT_MILLIS);
        Served served = new Served(fleet.servedShare(true), fleet.servedShare(false));
        fleet.heal();
        fleet.run(RETURN_MILLIS);
        assertEquals(0, fleet.lostContacts(), "contacts lost after the cut, seed " + seed);
        assertEquals(0, fleet.repeatedUnsafe(), "unsafe requests executed twice, seed " + seed);
        assertTrue(fleet.mostHandlers() <= 4, "daemons that handled one request, seed " + seed);
        return served;
    }

    /** Shares of first tries served at cut daemons and at the others. */
    private record Served(double atCut, double atOthers) {

        boolean isFair() {
            return 3 * atCut >= 2 * atOthers;
        }
    }

    @ParameterizedTest
    @CsvSource({"2", "7", "16"})
    void testCallersOfCutDaemonsAreServedTwoThirdsAsOftenAsOthers(int daemons) {
        for (long seed = 0; seed < HISTORIES; seed++) {
            Served served = play(daemons, seed, true);
            assertTrue(served.isFair(), served + ", seed " + seed);
        }
    }

    /** Control: with the verdict, but nobody who serves the callers in the daemon's stead. */
    @Test
    void testWithoutPassingOnCallersOfCutDaemonsAreNotServed() {
        int unfair = 0;
        for (long seed = 0; seed < HISTORIES; seed++) {
            unfair += play(7, seed, false).isFair() ? 0 : 1;
        }
        assertTrue(unfair > HISTORIES / 2, unfair + " of " + HISTORIES);
    }

    @Test
    void testPausesOfSingleEndpointsLoseNoContact() {
        assertEquals(0, falseLosses(Verdict.CONNECTIONS));
    }

    /** Control: silence alone as the verdict. */
    @Test
    void testSilenceAloneTakesBusyEndpointsForLost() {
        assertTrue(falseLosses(Verdict.SILENCE) > 0);
    }

    private static int falseLosses(Verdict verdict) {
        int losses = 0;
        for (long seed = 0; seed < HISTORIES; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(7, new SplittableRandom(seed), verdict, true);
            for (int pause = 0; pause < 5; pause++) {
                fleet.pauseOneEndpoint(1_000);
                fleet.run(1_500);
                losses += fleet.lostContacts();
            }
            losses += fleet.lossesSeen();
        }
        return losses;
    }

    @Test
    void testRequestsAreRefusedWhileNoDaemonReachesEndpoints() {
        for (long seed = 0; seed < HISTORIES; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(7, new SplittableRandom(seed), Verdict.CONNECTIONS, true);
            fleet.run(1_000);
            fleet.cutAll();
            fleet.run(CONTACT_MILLIS);
            fleet.resetCounts();
            fleet.run(CUT_MILLIS);
            assertEquals(0, fleet.heldRequests(), "seed " + seed);
            fleet.heal();
            fleet.run(RETURN_MILLIS);
            assertEquals(0, fleet.lostContacts(), "seed " + seed);
        }
    }
}
