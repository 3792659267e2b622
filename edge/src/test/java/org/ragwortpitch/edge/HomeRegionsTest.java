package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.PartitionableLink;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests daemons before endpoints of failure domain a, which is in region r, and of b, which is in r2. Guards against
 * prompts that leave the home regions of their route or account.
 */
class HomeRegionsTest {

    private static final int REQUESTS = 12;

    /** Time after which a refusal counts as delayed, in milliseconds; below the routes' timeouts. */
    private static final long AT_ONCE_MILLIS = 500;

    private static final String ROUTE =
            """
            {"Name":"%s","Host":"127.0.0.1","PathPrefix":"/%s/","Kind":"%s","TimeoutMs":%d,"TargetLatencyMs":400,
            "Service":"%s","MaxAttempts":3,"AllowResume":true,"TargetGapMs":150,"AllowedRegions":[%s]}
            """;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[%s],
            "Services":[{"Name":"app","MaxConnections":100},{"Name":"llm","MaxConnections":100,
            "Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"any","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1},
            {"Name":"near","ApiKeys":["near"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1,
            "AllowedRegions":["r"]}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final List<StandinEndpoint> inA = endpoints("a");
    private final List<StandinEndpoint> inB = endpoints("b");

    /** A plain service, a decode engine and a prefill engine. */
    private List<StandinEndpoint> endpoints(String domain) {
        return Stream.of("s-", "d-", "p-")
                .map(kind -> closer.add(new StandinEndpoint(kind + domain)).in(domain))
                .toList();
    }

    @BeforeEach
    void deploy() {
        String routes = String.join(
                ",",
                ROUTE.formatted("look", "look", "safe", 600, "app", ""),
                ROUTE.formatted("look-r", "look-r", "safe", 600, "app", "\"r\""),
                ROUTE.formatted("look-r2", "look-r2", "safe", 600, "app", "\"r2\""),
                ROUTE.formatted("ask-r2", "ask-r2", "streaming", 8_000, "llm", "\"r2\""));
        store.put("keyed.op", "config", DEPLOYMENT.formatted(routes));
        for (List<StandinEndpoint> endpoints : List.of(inA, inB)) {
            endpoints.get(0).list(store, "app", "", "ready");
            endpoints.get(1).list(store, "llm", "decode", "ready");
            endpoints.get(2).list(store, "llm", "prefill", "ready");
        }
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private static int arrivals(List<StandinEndpoint> endpoints) {
        return endpoints.stream()
                .mapToInt(endpoint -> endpoint.arrivalMillis().size())
                .sum();
    }

    @ParameterizedTest
    @CsvSource({"look-r, false", "look-r2, false", "ask-r2, false", "look-r2, true", "ask-r2, true"})
    void testOnlyEndpointsInTheHomesOfTheRouteGetItsRequests(String route, boolean failing) throws Exception {
        Edge edge = daemons.start("front-1");
        List<StandinEndpoint> homes = route.endsWith("r2") ? inB : inA;
        if (failing) {
            homes.forEach(endpoint -> endpoint.mode(StandinEndpoint.Mode.CRASHED));
        }
        int served = 0;
        for (int request = 0; request < REQUESTS; request++) {
            Optional<String> blocks = route.startsWith("ask") ? Optional.of("") : Optional.empty();
            served += daemons.ask(edge, "/" + route + "/x", blocks).get().statusCode() == 200 ? 1 : 0;
        }
        assertEquals(failing ? 0 : REQUESTS, served);
        assertTrue(arrivals(homes) > 0);
        assertEquals(0, arrivals(homes == inA ? inB : inA));
    }

    @Test
    void testRequestWhoseRouteAndAccountHaveNoHomeInCommonIsRefusedAtOnce() throws Exception {
        Edge edge = daemons.start("front-1");
        assertEquals(200, daemons.look(edge, "/look-r/x", "near").get().statusCode());
        int before = arrivals(inA);
        long sent = TestEventLoop.CLOCK_MILLIS.getAsLong();
        HttpResponse<String> response = daemons.look(edge, "/look-r2/x", "near").get();
        assertTrue(TestEventLoop.CLOCK_MILLIS.getAsLong() - sent < AT_ONCE_MILLIS);
        assertEquals(503, response.statusCode());
        assertTrue(response.body().contains("none in common"), response.body());
        assertEquals(before, arrivals(inA));
        assertEquals(0, arrivals(inB));
    }

    /** Guards against bodies that a daemon which reaches no endpoint passes to one of a region that is no home. */
    @Test
    void testBodyIsNotPassedToADaemonOutsideTheHomes() throws Exception {
        Map<Integer, Integer> ports = new HashMap<>();
        for (StandinEndpoint endpoint : List.of(inA.get(0), inB.get(0))) {
            PartitionableLink link = closer.add(new PartitionableLink(endpoint.port()));
            link.partition(PartitionableLink.Partition.RESET);
            ports.put(endpoint.port(), link.port());
        }
        Edge cut = daemons.startAt("front-1", store.addressWithPorts(ports));
        daemons.startIn("c", "front-2");
        TestDaemons.await(() -> daemons.look(cut, "/look/x").get().statusCode() == 200);
        int before = arrivals(inB);
        HttpResponse<String> response = daemons.look(cut, "/look-r2/x").get();
        assertEquals(503, response.statusCode());
        assertTrue(response.body().contains("home regions"), response.body());
        assertEquals(before, arrivals(inB));
    }
}
