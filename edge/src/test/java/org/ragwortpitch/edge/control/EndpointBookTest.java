package org.ragwortpitch.edge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.contract.KeyedRecord;

/**
 * Tests which endpoints count as listed while the store comes and goes.
 */
class EndpointBookTest {

    private static final long LONG_REACHED = 60_000;

    private final EndpointBook book = new EndpointBook();

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
    void testRemovalCountsAtOnceWhileTheStoreIsThere() {
        book.loaded(List.of(entry("a", "ready"), entry("b", "ready")), LONG_REACHED);
        book.changed(List.of(removal("a")), LONG_REACHED);
        assertEquals(1, book.endpoints().size());
    }

    @Test
    void testLapsedEntryIsKeptUntilItMustBeBack() {
        book.loaded(List.of(entry("a", "ready"), entry("b", "ready")), LONG_REACHED);
        book.changed(List.of(removal("a"), removal("b")), 300);
        assertEquals(2, book.endpoints().size());
        book.changed(List.of(entry("a", "ready")), 1_200);
        assertTrue(!book.dropMissing(1_999));
        assertTrue(book.dropMissing(2_000));
        assertEquals("a", book.endpoints().iterator().next().id().value());
    }

    @Test
    void testSingleEntryThatIsMissingAfterACutIsGoneAtOnce() {
        book.loaded(List.of(entry("a", "ready"), entry("b", "ready"), entry("c", "ready")), LONG_REACHED);
        book.changed(List.of(removal("a")), 300);
        assertEquals(2, book.endpoints().size());
        book.changed(List.of(removal("b")), 400);
        assertEquals(3, book.endpoints().size(), "most are missing, as after an outage of the store");
    }

    @Test
    void testReloadDropsWhatIsGone() {
        book.loaded(List.of(entry("a", "ready"), entry("b", "ready")), LONG_REACHED);
        book.loaded(List.of(entry("b", "draining")), LONG_REACHED);
        assertEquals(1, book.endpoints().size());
        assertTrue(book.endpoints().iterator().next().leaving());
    }

    @Test
    void testOnlyWhatChangesTheUseOfAnEndpointCountsAsAChange() {
        book.loaded(List.of(at(5, entry("a", "ready"))), LONG_REACHED);
        assertEquals(5, book.changedOffset());
        book.changed(List.of(at(6, entry("a", "ready"))), LONG_REACHED);
        assertEquals(5, book.changedOffset());
        book.changed(List.of(at(7, entry("a", "draining"))), LONG_REACHED);
        assertEquals(7, book.changedOffset());
        book.changed(List.of(at(9, removal("a"))), LONG_REACHED);
        assertEquals(9, book.changedOffset());
    }

    @Test
    void testEntryThatTurnsUnreadableNamesNoEndpoint() {
        book.loaded(List.of(entry("a", "ready")), LONG_REACHED);
        book.changed(List.of(entry("a", "odd")), LONG_REACHED);
        assertTrue(book.endpoints().isEmpty());
    }
}
