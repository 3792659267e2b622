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
 * Tests that a window has one set of figures.
 */
class UsageJournalTest {

    private static final AccountId PAWS = new AccountId("paws");

    private final UsageJournal journal = new UsageJournal();

    private static LedgerEntry counted(String writer, int part, long count) {
        return new LedgerEntry(5, new InstanceId(writer), 1, part, false, Map.of(PAWS, count));
    }

    private static LedgerEntry frozen(long count) {
        return new LedgerEntry(5, new InstanceId("holder"), 1, 0, true, Map.of(PAWS, count));
    }

    @Test
    void testEntryWrittenTwiceCountsOnce() {
        journal.apply(counted("a", 0, 3));
        journal.apply(counted("a", 0, 3));
        journal.apply(counted("a", 1, 2));
        journal.apply(counted("b", 0, 4));
        assertEquals(Map.of(PAWS, 9L), journal.counted(5));
        assertEquals(Set.of(new Life(new InstanceId("a"), 1), new Life(new InstanceId("b"), 1)), journal.writers(5));
    }

    @Test
    void testFirstFrozenFiguresStand() {
        journal.apply(counted("a", 0, 3));
        journal.apply(frozen(3));
        journal.apply(counted("b", 0, 4));
        journal.apply(frozen(7));
        assertEquals(Optional.of(Map.of(PAWS, 3L)), journal.frozen(5));
    }

    @Test
    void testCountsThatPeersToldOnlyRise() {
        PeerCounts peers = new PeerCounts();
        Life life = new Life(new InstanceId("a"), 1);
        peers.told(life, 5, PAWS, 3);
        peers.told(life, 5, PAWS, 2);
        peers.told(new Life(new InstanceId("a"), 2), 5, PAWS, 1);
        assertEquals(3, peers.copy().get(5L).get(life).get(PAWS));
        assertEquals(2, peers.copy().get(5L).size());
        peers.told(life, 100, PAWS, 1);
        assertEquals(Set.of(100L), peers.copy().keySet());
    }

    @Test
    void testRecentCountsStayAfterTheyWereTaken() {
        WindowCounts counts = new WindowCounts(5_000);
        counts.began(PAWS, 9_999);
        counts.takeEnded(10_000);
        assertEquals(Map.of(1L, Map.of(PAWS, 1L)), counts.recent());
    }

    @Test
    void testOldWindowsAreForgotten() {
        journal.apply(frozen(3));
        journal.apply(new LedgerEntry(500, new InstanceId("a"), 1, 0, false, Map.of()));
        assertTrue(journal.frozen(5).isEmpty());
    }

    @Test
    void testCountsGoToTheWindowOfTheirTime() {
        WindowCounts counts = new WindowCounts(5_000);
        counts.began(PAWS, 9_999);
        counts.began(PAWS, 10_000);
        assertEquals(Map.of(1L, Map.of(PAWS, 1L)), counts.takeEnded(10_000));
        assertEquals(Map.of(), counts.takeEnded(14_999));
        assertEquals(Map.of(2L, Map.of(PAWS, 1L)), counts.takeEnded(15_000));
        assertEquals(Map.of(3L, Map.of()), counts.takeEnded(20_000), "an empty window is told once");
        assertEquals(Map.of(), counts.takeEnded(20_500));
    }
}
