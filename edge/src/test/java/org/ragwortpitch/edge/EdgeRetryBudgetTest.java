package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.Settings;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests a whole daemon whose retry budget is empty, against stand-in engines that count what arrives.
 */
class EdgeRetryBudgetTest {

    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[{"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming",
            "TimeoutMs":8000,"TargetLatencyMs":2000,"Service":"llm","MaxAttempts":2,"AllowResume":true,
            "TargetGapMs":150}],
            "Services":[{"Name":"llm","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StandinStore store = closer.add(new StandinStore());
    private final StandinEndpoint prefillEngine = closer.add(new StandinEndpoint("i-1"));
    private final StandinEndpoint decodeEngine = closer.add(new StandinEndpoint("i-2"));
    private final StandinEndpoint otherDecodeEngine = closer.add(new StandinEndpoint("i-3"));
    private final Edge edge = closer.add(new Edge(
            Settings.withoutRetryBudget("front-1", store), 0, TestEventLoop.CLOCK_MILLIS, System::currentTimeMillis));

    @BeforeEach
    void start() {
        store.put("keyed.op", "config", DEPLOYMENT);
        prefillEngine.list(store, "llm", "prefill", "ready");
        edge.start();
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private void awaitReady() throws Exception {
        await(() -> client.send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                                + edge.readyAddress().getPort() + "/readiness"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode()
                == 200);
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long end = TestEventLoop.CLOCK_MILLIS.getAsLong() + TIMEOUT_MILLIS;
        while (!condition.call()) {
            assertTrue(TestEventLoop.CLOCK_MILLIS.getAsLong() < end, "the awaited condition was not met in time");
            Thread.sleep(20);
        }
    }

    private CompletableFuture<HttpResponse<String>> ask() {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + edge.frontAddress().getPort() + "/ask/x"))
                .timeout(Duration.ofSeconds(8))
                .header("Authorization", "Bearer key")
                .header(Headers.ATTEMPT, UUID.randomUUID().toString())
                .header(Headers.DEADLINE, "8000")
                .header(Headers.TOKENS, "4000,100")
                .header(Headers.PREFIX_BLOCKS, "a:3000,b:1000")
                .POST(HttpRequest.BodyPublishers.ofString("a prompt"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static int closedPort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Guards against second prefills outside the budget while the decode engines refuse connections. */
    @Test
    void testUnreachableDecodeEnginesDoNotCauseASecondPrefill() throws Exception {
        decodeEngine.list(store, closedPort(), "llm", "decode", "ready");
        otherDecodeEngine.list(store, closedPort(), "llm", "decode", "ready");
        awaitReady();
        assertEquals(503, ask().get().statusCode());
        assertEquals(1, prefillEngine.prefills());
    }

    /** Guards against a second prefill outside the budget when the decode engine leaves during the first. */
    @Test
    void testLeavingDecodeEngineDoesNotCauseASecondPrefill() throws Exception {
        decodeEngine.list(store, "llm", "decode", "ready");
        awaitReady();
        prefillEngine.pace(2_000);
        CompletableFuture<HttpResponse<String>> answer = ask();
        await(() -> prefillEngine.prefills() == 1);
        decodeEngine.list(store, "llm", "decode", "draining");
        otherDecodeEngine.list(store, "llm", "decode", "ready");
        assertEquals(200, answer.get().statusCode());
        assertEquals(1, prefillEngine.prefills());
        assertEquals(1, otherDecodeEngine.executedRequests().size());
    }
}
