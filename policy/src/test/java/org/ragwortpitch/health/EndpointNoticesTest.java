package org.ragwortpitch.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.identity.EndpointId;

/**
 * Tests how long what an endpoint says of itself holds.
 */
class EndpointNoticesTest {

    private static final EndpointIncarnation FIRST = new EndpointIncarnation(new EndpointId("e"), 1);

    private static final EndpointIncarnation SECOND = new EndpointIncarnation(new EndpointId("e"), 2);

    private final EndpointNotices notices = new EndpointNotices();

    @Test
    void testLeavingHoldsForOneIncarnation() {
        assertTrue(notices.recordLeaving(FIRST, 0));
        assertFalse(notices.recordLeaving(FIRST, 1));
        assertTrue(notices.isLeaving(FIRST));
        assertFalse(notices.isLeaving(SECOND));
    }

    @Test
    void testLongestRestHolds() {
        assertTrue(notices.recordRest(FIRST, 3_000, 0));
        assertFalse(notices.recordRest(FIRST, 500, 1_000));
        assertEquals(2_000, notices.restMillis(FIRST, 1_000));
        assertTrue(notices.recordRest(FIRST, 3_000, 2_000));
        assertEquals(1, notices.restMillis(FIRST, 4_999));
        assertEquals(0, notices.restMillis(FIRST, 5_000));
        assertEquals(0, notices.restMillis(SECOND, 2_000));
    }

    @Test
    void testNoticesOutliveAnEntryThatReturns() {
        notices.recordLeaving(FIRST, 0);
        notices.recordRest(FIRST, 5_000, 0);
        notices.listed(List.of(), 1_000);
        notices.listed(List.of(FIRST), 2_000);
        assertTrue(notices.isLeaving(FIRST));
        assertEquals(3_000, notices.restMillis(FIRST, 2_000));
    }

    @Test
    void testNoticesOfEndpointsThatAreGoneAreForgotten() {
        notices.recordLeaving(FIRST, 0);
        notices.recordRest(FIRST, 5_000, 0);
        notices.listed(List.of(), EndpointNotices.RETENTION_MILLIS + 1);
        assertFalse(notices.isLeaving(FIRST));
        assertEquals(0, notices.leaving().size());
    }
}
