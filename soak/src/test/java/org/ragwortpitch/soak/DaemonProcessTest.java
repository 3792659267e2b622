package org.ragwortpitch.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.EndlessEndpoint;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.standin.FaultProxy;

/**
 * Tests what only a daemon in a process of its own shows.
 */
class DaemonProcessTest {

    private static final int NETWORKS = 250;

    /** Gives each test an address of its own, as tests run beside each other. */
    private static final AtomicInteger TESTS = new AtomicInteger();

    private static final int STREAMS = 5;

    /** How long the store's answers are on their way, in milliseconds. */
    private static final long DELAY_MILLIS = 1_000;

    /** Longer than other daemons leave a new engine alone, and short enough for no gap between readings to show. */
    private static final long STANDSTILL_MILLIS = 1_550;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"ask","Host":"IP","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":4000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":1,"AllowResume":true,"TargetGapMs":150}],
            "Services":[{"Name":"llm","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private static final int ENDLESS_REQUESTS = 20;

    private static final int SOUND_REQUESTS = 60;

    private static final String TWO_SERVICES =
            """
            {"Version":1,"Routes":[
            {"Name":"check","Host":"IP","PathPrefix":"/check/","Kind":"safe","TimeoutMs":2000,
            "TargetLatencyMs":500,"Service":"app","MaxAttempts":1},
            {"Name":"faulty","Host":"IP","PathPrefix":"/faulty/","Kind":"unsafe","TimeoutMs":4000,
            "TargetLatencyMs":500,"Service":"faulty","MaxAttempts":1},
            {"Name":"ask","Host":"IP","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":4000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":1,"TargetGapMs":150}],
            "Services":[{"Name":"app","MaxConnections":100},{"Name":"faulty","MaxConnections":100},
            {"Name":"llm","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private String ip;
    private DaemonUnderTest daemon;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        int storePort = Integer.parseInt(store.address().replaceAll(".*:", ""));
        ip = "127.251." + ProcessHandle.current().pid() % NETWORKS + "." + TESTS.incrementAndGet();
        daemon = new DaemonUnderTest(
                Files.createDirectories(directory),
                "front-1",
                ip,
                "zone-1",
                new FaultProxy(() -> storePort),
                "org.ragwortpitch.edge.Main");
        daemon.start();
        TestDaemons.await(() -> {
            assertTrue(daemon.isAlive(), "the daemon ended: " + daemon.logged());
            return daemon.logged().contains("event=topic-loaded topic=keyed.servers");
        });
    }

    @AfterEach
    void close() throws Exception {
        daemon.close();
        closer.close();
    }

    private StandinEndpoint engine(String id, String version) {
        StandinEndpoint engine = closer.add(new StandinEndpoint(id));
        engine.version(version);
        return engine;
    }

    /** Takes up a stream of which no daemon knows where it began, and returns the response. */
    private HttpResponse<String> takeUp() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon.front() + "/ask/x"))
                .timeout(Duration.ofSeconds(5))
                .header("Authorization", "Bearer key")
                .header(Headers.ATTEMPT, UUID.randomUUID().toString())
                .header(Headers.DEADLINE, "5000")
                .header(Headers.TOKENS, "100,5")
                .header(Headers.PREFIX_BLOCKS, "a:100")
                .header(Headers.LAST_EVENT, "1")
                .header(Headers.RESUMED_ATTEMPT, UUID.randomUUID().toString())
                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Guards against a daemon that stands still while the store's answer waits for it, takes the answer for the present
     * list once it goes on, and joins a stream of a version that was listed meanwhile with one of another.
     */
    @Test
    void testStreamOfANewVersionDoesNotGoOnAtTheOldOneAfterAStandstill() throws Exception {
        store.put("keyed.op", "config", DEPLOYMENT.replace("IP", ip));
        engine("i-1", "v1").list(store, "llm", "decode", "ready");
        TestDaemons.await(() -> takeUp().statusCode() == 200);
        store.delayAnswers("keyed.servers", DELAY_MILLIS);
        int before = store.delayedReads();
        TestDaemons.await(() -> store.delayedReads() > before);
        daemon.signal("STOP");
        engine("i-2", "v2").list(store, "llm", "decode", "ready");
        Thread.sleep(STANDSTILL_MILLIS);
        daemon.signal("CONT");
        for (int stream = 0; stream < STREAMS; stream++) {
            HttpResponse<String> response = takeUp();
            assertEquals(503, response.statusCode(), "a stream of unknown origin went on: " + response.body());
        }
    }

    /** Guards against endpoints that send without end, and take the memory that other callers' requests need. */
    @ParameterizedTest
    @EnumSource(EndlessEndpoint.Kind.class)
    void testEndlessResponsesEndNoOtherRequests(EndlessEndpoint.Kind kind) throws Exception {
        store.put("keyed.op", "config", TWO_SERVICES.replace("IP", ip));
        StandinEndpoint sound = engine("i-1", "v1");
        EndlessEndpoint endless = closer.add(new EndlessEndpoint(kind));
        for (String pool : List.of("faulty", "llm")) {
            sound.list(store, endless.port(), pool, "llm".equals(pool) ? "decode" : "", "ready", "e-" + pool);
        }
        // Listed last, so that the others are known once it serves.
        sound.list(store, "app", "", "ready");
        TestDaemons.await(() -> get("/check/x").get().statusCode() == 200);
        List<CompletableFuture<HttpResponse<String>>> faulty = new ArrayList<>();
        for (int request = 0; request < ENDLESS_REQUESTS; request++) {
            faulty.add(get("/faulty/x"));
            faulty.add(generation());
        }
        TestDaemons.await(() -> endless.answered() > 0);
        for (int request = 0; request < SOUND_REQUESTS; request++) {
            assertEquals(200, get("/check/x").get().statusCode(), "request " + request);
        }
        for (CompletableFuture<HttpResponse<String>> response : faulty) {
            assertTrue(response.get(10, TimeUnit.SECONDS).statusCode() >= 500);
        }
        assertTrue(daemon.isAlive(), "the daemon ended: " + daemon.logged());
        assertFalse(daemon.logged().contains("heap space"), "the daemon ran out of memory");
    }

    private CompletableFuture<HttpResponse<String>> get(String path) {
        return send(request(path).GET());
    }

    private CompletableFuture<HttpResponse<String>> generation() {
        return send(request("/ask/x")
                .header(Headers.TOKENS, "100,5")
                .header(Headers.PREFIX_BLOCKS, "a:100")
                .POST(HttpRequest.BodyPublishers.ofString("prompt")));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + daemon.front() + path))
                .timeout(Duration.ofSeconds(10))
                .header("Authorization", "Bearer key")
                .header(Headers.ATTEMPT, UUID.randomUUID().toString())
                .header(Headers.DEADLINE, "5000");
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Guards against a stop that can't be explained afterwards, as the log ends with its first line. */
    @Test
    void testPlannedStopIsLoggedToItsEnd() throws Exception {
        assertTrue(daemon.stop(), "the daemon exits within its time");
        assertTrue(daemon.logged().contains("event=stopping"), daemon.logged());
        assertTrue(daemon.logged().contains("event=stopped"), daemon.logged());
    }
}
