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
class UsageLedgerTest {

    private static final AccountId ACCOUNT = new AccountId("paws");

    private final UsageLedger ledger = new UsageLedger();

    private static LedgerEntry counted(String writer, int part, long count) {
        return new LedgerEntry(5, new InstanceId(writer), 1, part, false, Map.of(ACCOUNT, count));
    }

    private static LedgerEntry frozen(long count) {
        return new LedgerEntry(5, new InstanceId("holder"), 1, 0, true, Map.of(ACCOUNT, count));
    }

    @Test
    void testEntryWrittenTwiceCountsOnce() {
        ledger.apply(counted("a", 0, 3));
        ledger.apply(counted("a", 0, 3));
        ledger.apply(counted("a", 1, 2));
        ledger.apply(counted("b", 0, 4));
        assertEquals(Map.of(ACCOUNT, 9L), ledger.counted(5));
        assertEquals(
                Set.of(new DaemonIncarnation(new InstanceId("a"), 1), new DaemonIncarnation(new InstanceId("b"), 1)),
                ledger.countedIncarnations(5));
    }

    @Test
    void testFirstFrozenFiguresAreBinding() {
        ledger.apply(counted("a", 0, 3));
        ledger.apply(frozen(3));
        ledger.apply(counted("b", 0, 4));
        ledger.apply(frozen(7));
        assertEquals(Optional.of(Map.of(ACCOUNT, 3L)), ledger.frozen(5));
    }

    @Test
    void testGossipedCountsOnlyGrow() {
        PeerCounts peers = new PeerCounts();
        DaemonIncarnation incarnation = new DaemonIncarnation(new InstanceId("a"), 1);
        peers.merge(incarnation, 5, ACCOUNT, 3);
        peers.merge(incarnation, 5, ACCOUNT, 2);
        peers.merge(new DaemonIncarnation(new InstanceId("a"), 2), 5, ACCOUNT, 1);
        assertEquals(3, peers.copy().get(5L).get(incarnation).get(ACCOUNT));
        assertEquals(2, peers.copy().get(5L).size());
        peers.merge(incarnation, 100, ACCOUNT, 1);
        assertEquals(Set.of(100L), peers.copy().keySet());
    }

    @Test
    void testRecentCountsRemainAfterDrain() {
        WindowCounts counts = new WindowCounts(5_000);
        counts.increment(ACCOUNT, 9_999);
        counts.drainEnded(10_000);
        assertEquals(Map.of(1L, Map.of(ACCOUNT, 1L)), counts.recent());
    }

    @Test
    void testOldWindowsAreEvicted() {
        ledger.apply(frozen(3));
        ledger.apply(new LedgerEntry(500, new InstanceId("a"), 1, 0, false, Map.of()));
        assertTrue(ledger.frozen(5).isEmpty());
    }

    @Test
    void testRequestIsCountedInWindowOfItsStart() {
        WindowCounts counts = new WindowCounts(5_000);
        counts.increment(ACCOUNT, 9_999);
        counts.increment(ACCOUNT, 10_000);
        assertEquals(Map.of(1L, Map.of(ACCOUNT, 1L)), counts.drainEnded(10_000));
        assertEquals(Map.of(), counts.drainEnded(14_999));
        assertEquals(Map.of(2L, Map.of(ACCOUNT, 1L)), counts.drainEnded(15_000));
        assertEquals(Map.of(3L, Map.of()), counts.drainEnded(20_000), "an empty window is drained once");
        assertEquals(Map.of(), counts.drainEnded(20_500));
    }
}
