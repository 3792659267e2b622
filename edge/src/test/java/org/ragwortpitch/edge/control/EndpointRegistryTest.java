package org.ragwortpitch.edge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.adapter.KeyedRecord;

/**
 * Tests which endpoints are listed during and after outages of the store. Entries expire during an outage, and removing
 * them all on its return would leave a pool without endpoints although they are alive.
 */
class EndpointRegistryTest {

    private static final long LONG_REACHABLE_MILLIS = 60_000;

    private final EndpointRegistry registry = new EndpointRegistry();

    private static KeyedRecord entry(String id, String state) {
        String value = "{\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"a\",\"Slots\":6,\"State\":\""
                + state + "\"}";
        return new KeyedRecord("servers/" + id, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private static KeyedRecord at(long offset, KeyedRecord entry) {
        return new KeyedRecord(entry.key(), entry.value(), offset);
    }

    private static KeyedRecord removal(String id) {
        return new KeyedRecord("servers/" + id, new byte[0], 0);
    }

    @Test
    void testRemovalAppliesAtOnceWhileTheStoreIsReachable() {
        registry.replaceAll(List.of(entry("a", "ready"), entry("b", "ready")), LONG_REACHABLE_MILLIS);
        registry.update(List.of(removal("a")), LONG_REACHABLE_MILLIS);
        assertEquals(1, registry.endpoints().size());
    }

    @Test
    void testExpiredEntryIsRetainedUntilItsEndpointMustHaveRelisted() {
        registry.replaceAll(List.of(entry("a", "ready"), entry("b", "ready")), LONG_REACHABLE_MILLIS);
        registry.update(List.of(removal("a"), removal("b")), 300);
        assertEquals(2, registry.endpoints().size());
        registry.update(List.of(entry("a", "ready")), 1_200);
        assertTrue(!registry.dropMissing(1_999));
        assertTrue(registry.dropMissing(2_000));
        assertEquals("a", registry.endpoints().iterator().next().id().value());
    }

    @Test
    void testSingleEntryMissingAfterALostConnectionIsRemovedAtOnce() {
        registry.replaceAll(
                List.of(entry("a", "ready"), entry("b", "ready"), entry("c", "ready")), LONG_REACHABLE_MILLIS);
        registry.update(List.of(removal("a")), 300);
        assertEquals(2, registry.endpoints().size());
        registry.update(List.of(removal("b")), 400);
        assertEquals(3, registry.endpoints().size(), "most entries are missing, as after an outage of the store");
    }

    @Test
    void testReloadRemovesMissingEntries() {
        registry.replaceAll(List.of(entry("a", "ready"), entry("b", "ready")), LONG_REACHABLE_MILLIS);
        registry.replaceAll(List.of(entry("b", "draining")), LONG_REACHABLE_MILLIS);
        assertEquals(1, registry.endpoints().size());
        assertTrue(registry.endpoints().iterator().next().leaving());
    }

    @Test
    void testOnlyChangesOfUsabilityAdvanceTheChangedOffset() {
        registry.replaceAll(List.of(at(5, entry("a", "ready"))), LONG_REACHABLE_MILLIS);
        assertEquals(5, registry.changedOffset());
        registry.update(List.of(at(6, entry("a", "ready"))), LONG_REACHABLE_MILLIS);
        assertEquals(5, registry.changedOffset());
        registry.update(List.of(at(7, entry("a", "draining"))), LONG_REACHABLE_MILLIS);
        assertEquals(7, registry.changedOffset());
        registry.update(List.of(at(9, removal("a"))), LONG_REACHABLE_MILLIS);
        assertEquals(9, registry.changedOffset());
    }

    private static KeyedRecord cold(long offset, String millis) {
        String value =
                "{\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"a\",\"Slots\":6,\"State\":\"ready\","
                        + "\"ColdRemainingMs\":" + millis + "}";
        return new KeyedRecord("servers/a", value.getBytes(StandardCharsets.UTF_8), offset);
    }

    private Collection<Long> readColdMillis() {
        return registry.reading(new TopicReading(0, true)).coldMillis().values();
    }

    /** Guards against a burst on an endpoint that turns cold, which other daemons would read of half a second later. */
    @Test
    void testEndpointThatTurnsColdAdvancesTheChangedOffset() {
        registry.replaceAll(List.of(cold(5, "0")), LONG_REACHABLE_MILLIS);
        registry.update(List.of(cold(6, "9000")), LONG_REACHABLE_MILLIS);
        assertEquals(6, registry.changedOffset());
        registry.update(List.of(cold(7, "8000")), LONG_REACHABLE_MILLIS);
        assertEquals(6, registry.changedOffset(), "it warms up");
        registry.update(List.of(cold(8, "9000")), LONG_REACHABLE_MILLIS);
        assertEquals(8, registry.changedOffset());
    }

    /** Guards against a stated time that counts again each time that the same entry is loaded. */
    @Test
    void testStatedTimeCountsOnceForEachEntry() {
        registry.replaceAll(List.of(cold(5, "9000")), LONG_REACHABLE_MILLIS);
        assertEquals(List.of(9_000L), List.copyOf(readColdMillis()));
        registry.replaceAll(List.of(cold(5, "9000")), LONG_REACHABLE_MILLIS);
        assertEquals(List.of(), List.copyOf(readColdMillis()));
        registry.update(List.of(cold(6, "9000")), LONG_REACHABLE_MILLIS);
        assertEquals(List.of(9_000L), List.copyOf(readColdMillis()));
        registry.update(List.of(cold(7, "\"soon\"")), LONG_REACHABLE_MILLIS);
        assertEquals(List.of(), List.copyOf(readColdMillis()));
    }

    @Test
    void testUnreadableEntryRemovesTheEndpoint() {
        registry.replaceAll(List.of(entry("a", "ready")), LONG_REACHABLE_MILLIS);
        registry.update(List.of(entry("a", "odd")), LONG_REACHABLE_MILLIS);
        assertTrue(registry.endpoints().isEmpty());
    }
}
