package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.adapter.DaemonCodec;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.Settings;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests a whole daemon over sockets, against stand-ins for the store, the platform and the endpoints.
 */
class EdgeTest {

    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String DEPLOYMENT =
            """
            {"Version":%1$d,"Routes":[
            {"Name":"ask","Host":"paws.example","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":4000,
            "TargetLatencyMs":500,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":150},
            {"Name":"once","Host":"paws.example","PathPrefix":"/once/","Kind":"streaming","TimeoutMs":4000,
            "TargetLatencyMs":500,"Service":"llm","MaxAttempts":1,"TargetGapMs":150},
            {"Name":"book","Host":"paws.example","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":800,
            "TargetLatencyMs":100,"Service":"app","MaxAttempts":1},
            {"Name":"check","Host":"paws.example","PathPrefix":"/%2$s/","Kind":"safe","TimeoutMs":800,
            "TargetLatencyMs":100,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"llm","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}},{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":%3$d,"Burst":%3$d,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StandinStore store = closer.add(new StandinStore());
    private final StandinEndpoint first = closer.add(new StandinEndpoint("i-1"));
    private final StandinEndpoint second = closer.add(new StandinEndpoint("i-2"));
    private final Edge edge = closer.add(new Edge(
            Settings.of("front-1", store, 300, 1_000), 0, TestEventLoop.CLOCK_MILLIS, System::currentTimeMillis));

    @AfterEach
    void close() {
        closer.close();
    }

    private void serve(String pool, String firstStage, String secondStage) throws Exception {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(7, "check", 1_000_000));
        first.list(store, pool, firstStage, "ready");
        second.list(store, pool, secondStage, "ready");
        // Started after the entries are written, so that the daemon knows the endpoints once it is ready.
        edge.start();
        await(() -> status(edge.readyAddress(), "/readiness") == 200);
        await(() -> call("check", "nobody").statusCode() == 401);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = TestEventLoop.CLOCK_MILLIS.getAsLong() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(TestEventLoop.CLOCK_MILLIS.getAsLong() < end, "the awaited condition was not met in time");
            Thread.sleep(20);
        }
    }

    private int status(InetSocketAddress address, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .build();
        return send(request).statusCode();
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private HttpRequest.Builder builder(String route, String key) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + edge.frontAddress().getPort() + "/" + route + "/x?y=1"))
                .timeout(Duration.ofSeconds(5))
                .header("Authorization", "Bearer " + key)
                .header(Headers.ATTEMPT, UUID.randomUUID().toString())
                .header(Headers.DEADLINE, "3000")
                .header("Host", "paws.example");
    }

    private HttpResponse<String> call(String route, String key) {
        HttpRequest.Builder request = builder(route, key);
        if ("ask".equals(route) || "once".equals(route)) {
            request.header(Headers.TOKENS, "4000,100")
                    .header(Headers.PREFIX_BLOCKS, "a:3000,b:1000")
                    .POST(HttpRequest.BodyPublishers.ofString("a prompt"));
        }
        return send(request.build());
    }

    @Test
    void testDaemonIsNotReadyBeforeTheFirstConfiguration() {
        edge.start();
        assertEquals(503, status(edge.readyAddress(), "/readiness"));
        assertEquals(503, call("check", "key").statusCode());
    }

    /** Guards against callers of a daemon that can't tell its share of the fleet's budgets. */
    @Test
    void testDaemonIsNotReadyBeforeItKnowsTheOthers() throws Exception {
        store.downTopic(DaemonCodec.TOPIC);
        store.put("keyed.op", "config", DEPLOYMENT.formatted(7, "check", 1_000_000));
        first.list(store, "app", "", "ready");
        edge.start();
        await(() -> call("check", "nobody").statusCode() == 401);
        assertEquals(503, status(edge.readyAddress(), "/readiness"));
        store.downTopic("");
        await(() -> status(edge.readyAddress(), "/readiness") == 200);
    }

    @Test
    void testServiceReceivesTheClientAccount() throws Exception {
        serve("app", "", "");
        HttpResponse<String> answer = call("check", "key");
        assertEquals(200, answer.statusCode());
        assertTrue(answer.body().startsWith("done by i-"), answer.body());
        assertTrue(answer.headers().firstValue(Headers.SEAL).isPresent());
        var run = first.executedRequests().isEmpty()
                ? second.executedRequests().get(0)
                : first.executedRequests().get(0);
        assertEquals("families", run.get(Headers.ACCOUNT));
        assertTrue(!run.contains(Headers.AUTHORIZATION));
        assertEquals(404, call("other", "key").statusCode());
    }

    @Test
    void testNewVersionReplacesRoutesAndOlderVersionIsIgnored() throws Exception {
        serve("app", "", "");
        store.put("keyed.op", "config", DEPLOYMENT.formatted(9, "look", 1_000_000));
        await(() -> call("look", "key").statusCode() == 200);
        assertEquals(404, call("check", "key").statusCode());
        store.put("keyed.op", "config", DEPLOYMENT.formatted(8, "check", 1_000_000));
        Thread.sleep(300);
        assertEquals(200, call("look", "key").statusCode(), "an older version never replaces a newer one");
    }

    @Test
    void testSafeRequestIsRetriedOnAnotherEndpoint() throws Exception {
        serve("app", "", "");
        for (StandinEndpoint.Mode mode : new StandinEndpoint.Mode[] {
            StandinEndpoint.Mode.FAILING, StandinEndpoint.Mode.BREAKING, StandinEndpoint.Mode.FULL
        }) {
            first.mode(mode);
            assertEquals("done by i-2", call("check", "key").body(), mode.name());
        }
    }

    @Test
    void testUnsafeRequestIsNeverRetried() throws Exception {
        serve("app", "", "");
        first.mode(StandinEndpoint.Mode.BREAKING);
        second.mode(StandinEndpoint.Mode.BREAKING);
        assertEquals(502, call("book", "key").statusCode());
        assertEquals(
                1, first.executedRequests().size() + second.executedRequests().size());
    }

    @Test
    void testRequestThatAllEndpointsRejectIsRefusedWithRetryAfter() throws Exception {
        serve("app", "", "");
        first.mode(StandinEndpoint.Mode.FULL);
        second.mode(StandinEndpoint.Mode.FULL);
        HttpResponse<String> answer = call("book", "key");
        assertEquals(503, answer.statusCode());
        assertTrue(answer.headers().firstValue("retry-after").isPresent());
        assertEquals(
                0, first.executedRequests().size() + second.executedRequests().size());
    }

    @Test
    void testSilentEndpointCausesATimeout() throws Exception {
        serve("app", "", "");
        first.mode(StandinEndpoint.Mode.SILENT);
        second.mode(StandinEndpoint.Mode.SILENT);
        assertEquals(504, call("book", "key").statusCode());
    }

    @Test
    void testPrefillRunsOnItsOwnEngineAndStreamIsComplete() throws Exception {
        serve("llm", "prefill", "decode");
        HttpResponse<String> answer = call("ask", "key");
        assertEquals(5, answer.body().split("data: x").length - 1);
        assertTrue(second.executedRequests().get(0).get(Headers.KV_SOURCE).endsWith("/h1"));
    }

    @Test
    void testBrokenStreamIsResumedElsewhereWithoutAGap() throws Exception {
        serve("llm", "decode", "decode");
        first.mode(StandinEndpoint.Mode.BREAKING);
        for (int call = 0; call < 4; call++) {
            String body = call("ask", "key").body();
            assertEquals(
                    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n", body);
        }
        assertTrue(first.executedRequests().size() > 0, "the stream broke at least once");
    }

    @Test
    void testStreamThatMustNotBeResumedIsAborted() throws Exception {
        serve("llm", "decode", "decode");
        first.mode(StandinEndpoint.Mode.BREAKING);
        second.mode(StandinEndpoint.Mode.BREAKING);
        boolean broken = false;
        try {
            call("once", "key");
        } catch (IllegalStateException exception) {
            broken = true;
        }
        assertTrue(broken, "a broken stream must not look complete");
        assertEquals(
                1, first.executedRequests().size() + second.executedRequests().size());
    }

    @Test
    void testAccountIsLimitedToItsRate() throws Exception {
        serve("app", "", "");
        store.put("keyed.op", "config", DEPLOYMENT.formatted(9, "check", 5));
        AtomicReference<HttpResponse<String>> last = new AtomicReference<>();
        await(() -> {
            last.set(call("check", "key"));
            return last.get().statusCode() == 429;
        });
        assertTrue(last.get().headers().firstValue("retry-after").isPresent());
    }

    @Test
    void testRequestsAreServedDuringAnOutageOfTheStore() throws Exception {
        serve("app", "", "");
        store.down(true);
        Thread.sleep(700);
        assertEquals(200, call("check", "key").statusCode());
        store.down(false);
        first.list(store, "app", "", "draining");
        second.list(store, "app", "", "draining");
        await(() -> call("check", "key").statusCode() == 503);
    }

    @Test
    void testNewVersionIsLoadedAlthoughTheStoreConnectionIsSilent() throws Exception {
        serve("app", "", "");
        Thread.sleep(100);
        store.ignoreWaitingReads();
        long silentMillis = TestEventLoop.CLOCK_MILLIS.getAsLong();
        store.put("keyed.op", "config", DEPLOYMENT.formatted(9, "look", 1_000_000));
        await(() -> call("look", "key").statusCode() == 200);
        assertTrue(
                TestEventLoop.CLOCK_MILLIS.getAsLong() - silentMillis < 3_000,
                "within the three seconds that the platform allows");
    }

    @Test
    void testUsageIsReportedOnce() throws Exception {
        serve("app", "", "");
        for (int call = 0; call < 3; call++) {
            call("check", "key");
        }
        await(() -> store.duties().stream().anyMatch(duty -> duty.startsWith("/usage")));
        Thread.sleep(1_500);
        long counted = store.duties().stream()
                .filter(duty -> duty.startsWith("/usage"))
                .mapToLong(duty -> Long.parseLong(duty.replaceAll(".*\"families\":(\\d+).*", "$1")))
                .sum();
        assertEquals(3, counted, store.duties().toString());
    }

    @Test
    void testUnsignedSuccessIsTreatedAsAFailure() throws Exception {
        serve("app", "", "");
        first.mode(StandinEndpoint.Mode.UNSIGNED);
        second.mode(StandinEndpoint.Mode.UNSIGNED);
        assertEquals(502, call("book", "key").statusCode());
        assertEquals(502, call("check", "key").statusCode());
    }

    @Test
    void testDirectoryListsTheDaemonUntilItDrains() throws Exception {
        serve("app", "", "");
        assertEquals(200, status(edge.directoryAddress(), "/resolve?Name=paws.example&Zone=a"));
        Thread drain = drain();
        await(() -> status(edge.directoryAddress(), "/resolve?Name=paws.example&Zone=a") == 503);
        assertEquals(503, status(edge.readyAddress(), "/readiness"));
        assertEquals(200, call("check", "key").statusCode(), "requests of callers that still connect are served");
        drain.interrupt();
        drain.join();
    }

    @Test
    void testDrainingDaemonRefusesRequestsThatItMightNotComplete() throws Exception {
        serve("llm", "decode", "decode");
        Thread drain = drain();
        await(() -> status(edge.readyAddress(), "/readiness") == 503);
        assertEquals(200, call("ask", "key").statusCode(), "requests early in the grace period are served");
        await(() -> call("ask", "key").statusCode() == 503);
        int runs = first.executedRequests().size() + second.executedRequests().size();
        HttpResponse<String> refused = call("ask", "key");
        assertEquals(503, refused.statusCode());
        assertTrue(refused.headers().firstValue("retry-after").isPresent());
        assertEquals(
                runs,
                first.executedRequests().size() + second.executedRequests().size());
        drain.interrupt();
        drain.join();
    }

    private Thread drain() {
        Thread drain = new Thread(() -> {
            try {
                edge.drain();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        drain.start();
        return drain;
    }
}
