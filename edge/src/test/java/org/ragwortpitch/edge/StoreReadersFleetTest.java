package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests a fleet in which three daemons read the store closely on behalf of all: the others make fewer calls, take over
 * when these end, and miss nothing.
 */
class StoreReadersFleetTest {

    private static final int DAEMONS = 5;

    private static final int READERS = 3;

    private static final long CONTACT_MILLIS = 12_000;

    private static final long SETTLED_MILLIS = 4_000;

    private static final long WATCHED_MILLIS = 3_000;

    /** Calls a second that a daemon may make while the store is away: four attempts, and one for the duties' group. */
    private static final int MAX_CALLS_WHILE_AWAY = 5;

    /** Time after its return within which the store's content is known again, in milliseconds. */
    private static final long RETURN_MILLIS = 2_000;

    private static final String DEPLOYMENT =
            """
            {"Version":VERSION,"Routes":[
            {"Name":"check","Host":"127.0.0.1","PathPrefix":"/PATH/","Kind":"safe","TimeoutMs":600,
            "TargetLatencyMs":121,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint endpoint = closer.add(new StandinEndpoint("a-1"));
    private final List<Edge> fleet = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        store.put("keyed.op", "config", deployment(1, "check"));
        endpoint.list(store, "app", "", "ready");
        for (int daemon = 1; daemon <= DAEMONS; daemon++) {
            fleet.add(daemons.startWithContact("front-" + daemon, CONTACT_MILLIS));
        }
        Thread.sleep(SETTLED_MILLIS);
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private static String deployment(int version, String path) {
        return DEPLOYMENT.replace("VERSION", String.valueOf(version)).replace("PATH", path);
    }

    /** Returns the daemons that renew their membership of the duties' group for a while. */
    private Set<String> renewing() throws InterruptedException {
        int before = store.joins().size();
        Thread.sleep(WATCHED_MILLIS);
        Set<String> names = new HashSet<>();
        store.joins()
                .subList(before, store.joins().size())
                .forEach(member -> names.add(member.replaceAll("-\\d+$", "")));
        return names;
    }

    @Test
    void testThreeDaemonsRenewTheirMembershipAndOthersTakeOver() throws Exception {
        assertEquals(Set.of("front-1", "front-2", "front-3"), renewing());
        fleet.subList(0, READERS).forEach(Edge::close);
        TestDaemons.await(() -> renewing().equals(Set.of("front-4", "front-5")));
    }

    /** Guards against a fleet that keeps calling while the store is away, or notices late that it is back. */
    @Test
    void testStoreThatIsAwayIsTriedSeldomAndItsReturnIsNoticed() throws Exception {
        store.down(true);
        Thread.sleep(WATCHED_MILLIS);
        int before = store.refusedCalls();
        Thread.sleep(WATCHED_MILLIS);
        int calls = store.refusedCalls() - before;
        assertTrue(
                calls <= DAEMONS * MAX_CALLS_WHILE_AWAY * WATCHED_MILLIS / 1_000,
                calls + " calls of " + DAEMONS + " daemons in " + WATCHED_MILLIS + " ms");
        store.put("keyed.op", "config", deployment(2, "look"));
        store.down(false);
        Thread.sleep(RETURN_MILLIS);
        for (Edge edge : fleet) {
            assertEquals(
                    200,
                    daemons.ask(edge, "/look/x", Optional.empty()).get().statusCode(),
                    "a version is applied soon after the store's return");
        }
    }

    /** Guards against a daemon that keeps an old configuration for as long as its silent connection goes unnoticed. */
    @Test
    void testVersionIsAppliedByAllAlthoughTheirConnectionsAreSilent() throws Exception {
        store.ignoreWaitingReads();
        long silentMillis = TestEventLoop.CLOCK_MILLIS.getAsLong();
        store.put("keyed.op", "config", deployment(2, "look"));
        for (Edge edge : fleet) {
            TestDaemons.await(
                    () -> daemons.ask(edge, "/look/x", Optional.empty()).get().statusCode() == 200);
        }
        long tookMillis = TestEventLoop.CLOCK_MILLIS.getAsLong() - silentMillis;
        assertTrue(tookMillis < CONTACT_MILLIS / 2, "applied by all after " + tookMillis + " ms");
    }
}
