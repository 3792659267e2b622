package org.ragwortpitch.edge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.contact.ProxyPeer;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;

/**
 * Tests which daemons get callers, and which gossip is ignored as outdated. A datagram of an earlier incarnation can
 * arrive late, and a wall clock set back makes a new incarnation look older than the one before it.
 */
class PeerViewTest {

    private static final FailureDomain NEAR = new FailureDomain("near");

    private static final InstanceId A = new InstanceId("a");

    private static final InstanceId B = new InstanceId("b");

    private final PeerView view = new PeerView(new InstanceId("self"), NEAR);

    private void listBoth() {
        view.apply(
                List.of(
                        new Daemon(A, 1, new FailureDomain("far"), "10.0.0.1:80", "10.0.0.1:90"),
                        new Daemon(B, 1, NEAR, "10.0.0.2:80", "10.0.0.2:90")),
                -10_000);
    }

    @Test
    void testSilentDaemonGetsNoCallers() {
        listBoth();
        view.recordGossip(A, 1, 1, PeerStatus.of(true), 0);
        assertEquals(1, view.ready(NEAR, 1_500).size());
        assertEquals(0, view.ready(NEAR, 1_501).size());
        assertEquals(2, view.knownCount(600));
        assertEquals(1, view.knownCount(601));
        assertEquals(3, view.count());
    }

    @Test
    void testDaemonsOfThePreferredDomainComeFirst() {
        listBoth();
        view.recordGossip(A, 1, 1, PeerStatus.of(true), 0);
        view.recordGossip(B, 1, 1, PeerStatus.of(true), 0);
        assertEquals(B, view.ready(NEAR, 0).get(0).id());
    }

    @Test
    void testLeavingDaemonGetsNoCallers() {
        listBoth();
        view.recordGossip(A, 1, 1, PeerStatus.of(true), 0);
        view.recordGossip(A, 1, 2, PeerStatus.of(false), 10);
        assertTrue(view.ready(NEAR, 10).isEmpty());
    }

    /** Guards against requests that are passed to daemons which can't take them. */
    @Test
    void testOnlyReadyDaemonsThatReachThePoolTakeItsRequests() {
        PoolId pool = new PoolId("llm");
        listBoth();
        view.recordGossip(A, 1, 1, new PeerStatus(true, 7_600, Set.of(), StoreContact.NONE), 0);
        view.recordGossip(B, 1, 1, new PeerStatus(true, 7_600, Set.of(pool), StoreContact.NONE), 0);
        assertEquals(
                List.of(new ProxyPeer(A, "10.0.0.1:7600", false, 2)), view.proxies(pool, domain -> true, id -> 2, 0));
        assertEquals(
                2, view.proxies(new PoolId("app"), domain -> true, id -> 0, 0).size());
        assertEquals(
                1, view.proxies(new PoolId("app"), NEAR::equals, id -> 0, 0).size());
        view.recordGossip(A, 1, 2, PeerStatus.of(true), 1);
        assertEquals(
                List.of(),
                view.proxies(pool, domain -> true, id -> 0, 1),
                "a daemon of an earlier version has no port");
        view.recordGossip(A, 1, 3, new PeerStatus(false, 7_600, Set.of(), StoreContact.NONE), 2);
        assertEquals(List.of(), view.proxies(pool, domain -> true, id -> 0, 2), "a daemon that stops");
        assertEquals(
                1,
                view.proxies(new PoolId("app"), domain -> true, id -> 0, 1_500).size());
        assertEquals(
                0,
                view.proxies(new PoolId("app"), domain -> true, id -> 0, 1_503).size(),
                "a silent daemon");
    }

    @Test
    void testOutdatedGossipIsIgnored() {
        assertTrue(view.recordGossip(A, 2, 5, PeerStatus.of(true), 0));
        assertFalse(view.recordGossip(A, 2, 4, PeerStatus.of(false), 1));
        assertFalse(view.recordGossip(A, 1, 9, PeerStatus.of(false), 1));
        assertTrue(view.recordGossip(A, 3, 1, PeerStatus.of(true), 1));
        assertFalse(view.recordGossip(A, 2, 6, PeerStatus.of(true), 1_000));
    }

    @Test
    void testNewIncarnationIsAcceptedAfterTheClockWasSetBack() {
        assertTrue(view.recordGossip(A, 5_000, 9, PeerStatus.of(true), 0));
        assertTrue(view.recordGossip(A, 3_000, 1, PeerStatus.of(true), 1_001));
        assertTrue(view.recordGossip(A, 3_000, 2, PeerStatus.of(true), 1_050));
    }

    /** Guards against shares of a fleet-wide budget that are too large as long as a new daemon's entry is not read. */
    @Test
    void testUnlistedDaemonCountsForTheFleetWhileItIsHeard() {
        assertEquals(OptionalInt.empty(), view.fleetSize(0));
        listBoth();
        view.recordUnlisted(A, 0);
        assertEquals(OptionalInt.of(3), view.fleetSize(0));
        view.recordUnlisted(new InstanceId("c"), 0);
        assertEquals(OptionalInt.of(4), view.fleetSize(30_000));
        assertEquals(OptionalInt.of(3), view.fleetSize(30_001));
    }
}
