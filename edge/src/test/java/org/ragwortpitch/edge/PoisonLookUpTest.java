package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests daemons before a plain service whose endpoints crash when they begin to execute a certain look-up, which has no
 * body and comes again and again.
 */
class PoisonLookUpTest {

    private static final String SOUND = "/check/a";

    private static final String POISON = "/check/bad";

    /** After this many crashes at most {@link #MAX_LATE_REQUESTS} more of the same request may reach endpoints. */
    private static final int CRASHES = 3;

    private static final int MAX_LATE_REQUESTS = 3;

    private static final int MAX_REQUESTS = 60;

    /** How long a daemon may take to learn of crashes at others, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long PACE_MILLIS = 300;

    private static final int CONCURRENT_LOOK_UPS = 12;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[{"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe",
            "TimeoutMs":2000,"TargetLatencyMs":1000,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key","other-key"],"RatePerS":1000000,"Burst":1000000,
            "PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final List<StandinEndpoint> endpoints = Stream.of("i-1", "i-2", "i-3")
            .map(id -> closer.add(new StandinEndpoint(id)))
            .toList();

    @BeforeEach
    void deploy() {
        store.put("keyed.op", "config", DEPLOYMENT);
        endpoints.forEach(endpoint -> endpoint.crashOnPath(POISON));
        list();
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private void list() {
        endpoints.forEach(endpoint -> endpoint.list(store, "app", "", "ready"));
    }

    private Edge started(String instance) throws Exception {
        Edge edge = daemons.start(instance);
        TestDaemons.await(() -> look(edge, SOUND).statusCode() == 200);
        return edge;
    }

    private HttpResponse<String> look(Edge edge, String path) throws Exception {
        return daemons.look(edge, path).get();
    }

    /** Sends the poison request, in turn to the daemons, until all endpoints have crashed. */
    private void crashEndpoints(Edge... daemons) throws Exception {
        for (int request = 0; request < MAX_REQUESTS && crashes() < CRASHES; request++) {
            look(daemons[request % daemons.length], POISON);
        }
        assertEquals(CRASHES, crashes(), "endpoints crashed");
    }

    private long crashes() {
        return endpoints.stream().filter(StandinEndpoint::isCrashed).count();
    }

    private void restartEndpoints() throws Exception {
        Thread.sleep(CONTACT_MILLIS);
        endpoints.forEach(StandinEndpoint::restart);
        list();
    }

    /** Returns how many of several further poison requests reach endpoints. */
    private int lateRequests(Edge daemon) throws Exception {
        int before = poisonArrivals();
        for (int request = 0; request < 2 * MAX_LATE_REQUESTS; request++) {
            look(daemon, POISON);
        }
        return poisonArrivals() - before;
    }

    private int poisonArrivals() {
        return endpoints.stream().mapToInt(StandinEndpoint::crashRequests).sum();
    }

    /** Guards against a request that crashes endpoints without end because it has no body to recognise it by. */
    @Test
    void testLookUpWithoutABodyThatCrashesEndpointsIsRefused() throws Exception {
        Edge edge = started("front-1");
        crashEndpoints(edge);
        restartEndpoints();
        assertTrue(lateRequests(edge) <= MAX_LATE_REQUESTS, "the look-up still reaches endpoints");
        TestDaemons.await(() -> look(edge, SOUND).statusCode() == 200);
        assertEquals(503, look(edge, POISON).statusCode());
    }

    /** Guards against crashes that each daemon counts for itself, and against a daemon that starts without them. */
    @Test
    void testDaemonsAddUpTheCrashesOfALookUp() throws Exception {
        List<Edge> edges = new ArrayList<>();
        for (String instance : List.of("front-1", "front-2", "front-3")) {
            edges.add(started(instance));
        }
        Thread.sleep(CONTACT_MILLIS);
        crashEndpoints(edges.toArray(Edge[]::new));
        restartEndpoints();
        TestDaemons.await(() -> look(edges.get(0), SOUND).statusCode() == 200);
        edges.add(started("front-4"));
        Thread.sleep(CONTACT_MILLIS);
        int late = 0;
        for (Edge edge : edges) {
            late += lateRequests(edge);
        }
        assertTrue(late <= MAX_LATE_REQUESTS, late + " of the look-ups reached endpoints");
    }

    /** Guards against an account that may crash endpoints anew with each of its keys. */
    @Test
    void testLookUpIsRefusedWhicheverKeyOfTheAccountItHas() throws Exception {
        Edge edge = started("front-1");
        crashEndpoints(edge);
        restartEndpoints();
        TestDaemons.await(() -> look(edge, SOUND).statusCode() == 200);
        int before = poisonArrivals();
        assertEquals(503, daemons.look(edge, POISON, "other-key").get().statusCode());
        assertEquals(before, poisonArrivals(), "arrivals of the look-up");
    }

    /** Guards against crashes that are forgotten when all daemons end at the same moment. */
    @Test
    void testCrashesOfALookUpAreKnownAfterAllDaemonsEnded() throws Exception {
        Edge first = started("front-1");
        crashEndpoints(first);
        Thread.sleep(CONTACT_MILLIS);
        first.close();
        restartEndpoints();
        assertEquals(0, lateRequests(started("front-1")), "look-ups that reached endpoints");
    }

    /** Guards against crashes that are forgotten since the store refused them at first. */
    @Test
    void testCrashesOfALookUpAreKnownThoughTheStoreRefusedThemAtFirst() throws Exception {
        Edge first = started("front-1");
        store.downTopic("keyed.poison");
        crashEndpoints(first);
        Thread.sleep(CONTACT_MILLIS);
        store.downTopic("");
        Thread.sleep(CONTACT_MILLIS);
        first.close();
        restartEndpoints();
        assertEquals(0, lateRequests(started("front-1")), "look-ups that reached endpoints");
    }

    /** Guards against the refusal of a sound look-up that many callers send, for endpoints that ended under it. */
    @Test
    void testSoundLookUpIsServedAfterEndpointsEndedUnderIt() throws Exception {
        Edge edge = started("front-1");
        endpoints.forEach(endpoint -> endpoint.pace(PACE_MILLIS));
        List<CompletableFuture<HttpResponse<String>>> lost = new ArrayList<>();
        for (int request = 0; request < CONCURRENT_LOOK_UPS; request++) {
            lost.add(daemons.look(edge, SOUND));
        }
        Thread.sleep(PACE_MILLIS / 2);
        endpoints.forEach(StandinEndpoint::crash);
        for (CompletableFuture<HttpResponse<String>> response : lost) {
            response.get();
        }
        restartEndpoints();
        TestDaemons.await(() -> look(edge, SOUND).statusCode() == 200);
    }
}
