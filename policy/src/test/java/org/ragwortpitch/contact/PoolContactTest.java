package org.ragwortpitch.contact;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.contact.PoolContact.Change;
import org.ragwortpitch.contact.PoolContact.Step;
import org.ragwortpitch.identity.EndpointId;

/**
 * Tests when a daemon takes a pool for out of reach, and for reached again.
 */
class PoolContactTest {

    private static final long TICK_MILLIS = 50;

    /** Half of the three seconds after which callers of a cut daemon have to be served. */
    private static final long KNOWN_MILLIS = 1_500;

    private final PoolContact contact = new PoolContact();
    private long nowMillis;

    private static List<EndpointId> endpoints(int count) {
        List<EndpointId> ids = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ids.add(new EndpointId("e-" + index));
        }
        return ids;
    }

    /** Advances while no connection opens, and returns when contact is lost; -1 if it isn't. */
    private long advanceWithoutPaths(List<EndpointId> endpoints, boolean waiting, long untilMillis) {
        while (nowMillis < untilMillis) {
            Step step = contact.advance(endpoints, waiting, nowMillis);
            if (step.change() == Change.LOST) {
                return nowMillis;
            }
            step.probes().forEach(probe -> contact.connectFailed(probe, nowMillis));
            nowMillis += TICK_MILLIS;
        }
        return -1;
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "3", "40"})
    void testContactIsLostIfConnectionsToThreeOrAllEndpointsFail(int count) {
        long lostMillis = advanceWithoutPaths(endpoints(count), true, KNOWN_MILLIS);
        assertTrue(lostMillis >= 0 && contact.isLost());
    }

    @Test
    void testSilentEndpointsThatAcceptConnectionsAreInContact() {
        for (; nowMillis < 10_000; nowMillis += TICK_MILLIS) {
            Step step = contact.advance(endpoints(3), true, nowMillis);
            assertEquals(Change.NONE, step.change());
            if (!step.probes().isEmpty()) {
                contact.heard(nowMillis);
            }
        }
    }

    @Test
    void testProbesOfSilentEndpointsAreFew() {
        int probes = 0;
        for (; nowMillis < 10_000; nowMillis += TICK_MILLIS) {
            List<EndpointId> due =
                    contact.advance(endpoints(3), true, nowMillis).probes();
            probes += due.size();
            if (!due.isEmpty()) {
                contact.heard(nowMillis);
            }
        }
        assertTrue(probes <= 10, probes + " probes in 10 s");
    }

    @Test
    void testFailedConnectionsToOneEndpointAmongOthersThatAnswerDoNotLoseContact() {
        for (; nowMillis < 5_000; nowMillis += TICK_MILLIS) {
            contact.connectFailed(endpoints(3).get(0), nowMillis);
            assertEquals(
                    Change.NONE, contact.advance(endpoints(3), true, nowMillis).change());
            if (nowMillis % 200 == 0) {
                contact.heard(nowMillis);
            }
        }
    }

    @Test
    void testIdlePoolIsNeitherProbedNorLost() {
        for (; nowMillis < 5_000; nowMillis += TICK_MILLIS) {
            Step step = contact.advance(endpoints(3), false, nowMillis);
            assertEquals(new Step(Change.NONE, List.of()), step);
        }
    }

    @Test
    void testIdlePoolIsProbedWhenAnotherIsLost() {
        contact.suspect(nowMillis);
        assertTrue(advanceWithoutPaths(endpoints(3), false, KNOWN_MILLIS) >= 0);
    }

    @Test
    void testLostPoolIsProbedUntilOneEndpointIsHeard() {
        advanceWithoutPaths(endpoints(3), true, KNOWN_MILLIS);
        int probes = 0;
        for (long end = nowMillis + 2_000; nowMillis < end; nowMillis += TICK_MILLIS) {
            probes += contact.advance(endpoints(3), false, nowMillis).probes().size();
        }
        assertTrue(probes >= 4 && probes <= 8, probes + " probes in 2 s");
        assertTrue(contact.heard(nowMillis));
        assertFalse(contact.isLost());
    }

    @Test
    void testPoolWithoutEndpointsIsNotLost() {
        advanceWithoutPaths(endpoints(3), true, KNOWN_MILLIS);
        assertEquals(
                Change.REGAINED, contact.advance(List.of(), false, nowMillis).change());
        assertFalse(contact.isLost());
    }
}
