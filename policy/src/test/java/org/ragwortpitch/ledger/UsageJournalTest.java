package org.ragwortpitch.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.InstanceId;

/**
 * Guards against a window that is reported with different figures. This comes about when entries are written twice,
 * when counts arrive after a window is frozen, or when a second duty holder freezes it again.
 */
class UsageJournalTest {

    private static final AccountId ACCOUNT = new AccountId("paws");

    private final UsageJournal journal = new UsageJournal();

    private static LedgerEntry counted(String writer, int part, long count) {
        return new LedgerEntry(5, new InstanceId(writer), 1, part, false, Map.of(ACCOUNT, count));
    }

    private static LedgerEntry frozen(long count) {
        return new LedgerEntry(5, new InstanceId("holder"), 1, 0, true, Map.of(ACCOUNT, count));
    }

    @Test
    void testEntryWrittenTwiceCountsOnce() {
        journal.apply(counted("a", 0, 3));
        journal.apply(counted("a", 0, 3));
        journal.apply(counted("a", 1, 2));
        journal.apply(counted("b", 0, 4));
        assertEquals(Map.of(ACCOUNT, 9L), journal.counted(5));
        assertEquals(Set.of(new Life(new InstanceId("a"), 1), new Life(new InstanceId("b"), 1)), journal.writers(5));
    }

    @Test
    void testFirstFrozenFiguresAreBinding() {
        journal.apply(counted("a", 0, 3));
        journal.apply(frozen(3));
        journal.apply(counted("b", 0, 4));
        journal.apply(frozen(7));
        assertEquals(Optional.of(Map.of(ACCOUNT, 3L)), journal.frozen(5));
    }

    @Test
    void testGossipedCountsOnlyGrow() {
        PeerCounts peers = new PeerCounts();
        Life incarnation = new Life(new InstanceId("a"), 1);
        peers.told(incarnation, 5, ACCOUNT, 3);
        peers.told(incarnation, 5, ACCOUNT, 2);
        peers.told(new Life(new InstanceId("a"), 2), 5, ACCOUNT, 1);
        assertEquals(3, peers.copy().get(5L).get(incarnation).get(ACCOUNT));
        assertEquals(2, peers.copy().get(5L).size());
        peers.told(incarnation, 100, ACCOUNT, 1);
        assertEquals(Set.of(100L), peers.copy().keySet());
    }

    @Test
    void testRecentCountsRemainAfterDrain() {
        WindowCounts counts = new WindowCounts(5_000);
        counts.began(ACCOUNT, 9_999);
        counts.takeEnded(10_000);
        assertEquals(Map.of(1L, Map.of(ACCOUNT, 1L)), counts.recent());
    }

    @Test
    void testOldWindowsAreEvicted() {
        journal.apply(frozen(3));
        journal.apply(new LedgerEntry(500, new InstanceId("a"), 1, 0, false, Map.of()));
        assertTrue(journal.frozen(5).isEmpty());
    }

    @Test
    void testRequestIsCountedInWindowOfItsStart() {
        WindowCounts counts = new WindowCounts(5_000);
        counts.began(ACCOUNT, 9_999);
        counts.began(ACCOUNT, 10_000);
        assertEquals(Map.of(1L, Map.of(ACCOUNT, 1L)), counts.takeEnded(10_000));
        assertEquals(Map.of(), counts.takeEnded(14_999));
        assertEquals(Map.of(2L, Map.of(ACCOUNT, 1L)), counts.takeEnded(15_000));
        assertEquals(Map.of(3L, Map.of()), counts.takeEnded(20_000), "an empty window is drained once");
        assertEquals(Map.of(), counts.takeEnded(20_500));
    }
}
