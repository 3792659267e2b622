package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests daemons before a warm endpoint and one that starts during traffic. Guards against a burst on the new one, which
 * would crash it, and against one that stays unused when it is warm.
 */
class ColdEndpointTest {

    private static final double COLD_PER_SECOND = 2;

    private static final long COLD_MILLIS = 4_000;

    private static final long PAUSE_MILLIS = 25;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":150},
            {"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe","TimeoutMs":800,
            "TargetLatencyMs":100,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"app","MaxConnections":100,"ColdStartS":4,"ColdPerS":%1$s},
            {"Name":"llm","MaxConnections":100,"ColdStartS":4,"ColdPerS":%1$s,
            "Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint warm = closer.add(new StandinEndpoint("i-2"));
    private final StandinEndpoint cold = closer.add(new StandinEndpoint("i-1"));

    @AfterEach
    void close() {
        closer.close();
    }

    private List<CompletableFuture<HttpResponse<String>>> askFor(List<Edge> edges, String path, long millis)
            throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (long end = TestEventLoop.CLOCK_MILLIS.getAsLong() + millis;
                TestEventLoop.CLOCK_MILLIS.getAsLong() < end; ) {
            Edge edge = edges.get(answers.size() % edges.size());
            answers.add(daemons.ask(edge, path, path.startsWith("/ask/") ? Optional.of("") : Optional.empty()));
            Thread.sleep(PAUSE_MILLIS);
        }
        return answers;
    }

    @ParameterizedTest
    @ValueSource(strings = {"/ask/x", "/check/x"})
    void testEndpointThatStartsDuringTrafficIsPacedUntilItIsWarm(String path) throws Exception {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(COLD_PER_SECOND));
        String pool = path.startsWith("/ask/") ? "llm" : "app";
        String stage = path.startsWith("/ask/") ? "decode" : "";
        warm.list(store, pool, stage, "ready");
        List<Edge> edges = List.of(daemons.start("front-1"), daemons.start("front-2"));
        Thread.sleep(500);
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>(askFor(edges, path, 500));
        cold.list(store, pool, stage, "ready");
        answers.addAll(askFor(edges, path, COLD_MILLIS));
        List<Long> arrivals = List.copyOf(cold.arrivalMillis());
        long most = arrivals.stream()
                .mapToLong(from -> arrivals.stream()
                        .filter(at -> at >= from && at < from + 1_000)
                        .count())
                .max()
                .orElse(0);
        assertTrue(most <= 1.5 * COLD_PER_SECOND + 5, most + " requests in a second");
        askFor(edges, path, 2_000);
        int before = cold.arrivalMillis().size();
        int requests = askFor(edges, path, 2_000).size();
        if (pool.equals("app")) {
            // Of two engines, the one that has responded faster may get all requests.
            int arrived = cold.arrivalMillis().size() - before;
            assertTrue(arrived >= requests / 4, arrived + " of " + requests + " requests came to the endpoint");
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.get().statusCode());
        }
    }

    /** Guards against callers who wait for an endpoint that takes nothing, or learn nothing of the cause. */
    @ParameterizedTest
    @ValueSource(strings = {"/ask/x", "/check/x"})
    void testEndpointThatTakesNothingWhileColdGetsNothing(String path) throws Exception {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(0));
        String entry = "{\"Service\":\"" + (path.startsWith("/ask/") ? "llm" : "app") + "\",\"Address\":\"127.0.0.1:"
                + cold.port() + "\",\"Version\":\"v1\",\"Zone\":\"a\",\"Slots\":6,\"State\":\"ready\",\"Stage\":\""
                + (path.startsWith("/ask/") ? "decode" : "")
                + "\",\"Sequence\":1,\"born\":1,\"ColdRemainingMs\":60000}";
        store.put("keyed.servers", "servers/i-1", entry);
        Edge edge = daemons.start("front-1");
        HttpResponse<String> response = askFor(List.of(edge), path, 500).get(0).get();
        assertEquals(503, response.statusCode());
        assertTrue(response.body().contains("cold and take no requests"), response.body());
        double retryAfterSeconds =
                Double.parseDouble(response.headers().firstValue("Retry-After").orElseThrow());
        assertTrue(retryAfterSeconds > 50, "Retry-After: " + retryAfterSeconds);
        assertEquals(List.of(), cold.arrivalMillis());
    }
}
