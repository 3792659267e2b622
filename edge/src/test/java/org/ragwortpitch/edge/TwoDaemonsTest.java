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
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.Settings;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests what two daemons learn of each other by gossip: reachability, spent quota, and the usage counts that a killed
 * daemon couldn't write to the ledger.
 */
class TwoDaemonsTest {

    private static final long TIMEOUT_MILLIS = 15_000;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[{"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe",
            "TimeoutMs":800,"TargetLatencyMs":100,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1,"Burst":%d,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StandinStore store = closer.add(new StandinStore());
    private final StandinEndpoint endpoint = closer.add(new StandinEndpoint("i-1"));

    @AfterEach
    void close() {
        closer.close();
    }

    private Edge started(String instance) throws Exception {
        Edge edge = closer.add(new Edge(
                Settings.of(instance, store, 2_000, 5_000), 0, TestEventLoop.CLOCK_MILLIS, System::currentTimeMillis));
        edge.start();
        await(() -> get(edge.readyAddress(), "/readiness").statusCode() == 200);
        return edge;
    }

    private void deploy(int burst) {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(burst));
        endpoint.list(store, "app", "", "ready");
    }

    private HttpResponse<String> get(InetSocketAddress address, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .timeout(Duration.ofSeconds(5))
                .header("Authorization", "Bearer key")
                .header(Headers.ATTEMPT, UUID.randomUUID().toString())
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private int check(Edge edge) {
        return get(edge.frontAddress(), "/check/x").statusCode();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = TestEventLoop.CLOCK_MILLIS.getAsLong() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(TestEventLoop.CLOCK_MILLIS.getAsLong() < end, "the awaited condition was not met in time");
            Thread.sleep(20);
        }
    }

    private boolean listsBoth(Edge edge) {
        String body = get(edge.directoryAddress(), "/resolve?Name=x&Zone=a").body();
        return body.split("127.0.0.1").length - 1 == 2;
    }

    @Test
    void testDirectoryListsReachableDaemons() throws Exception {
        deploy(100);
        Edge first = started("front-1");
        Edge second = started("front-2");
        await(() -> listsBoth(first) && listsBoth(second));
        second.close();
        await(() -> !listsBoth(first));
    }

    @Test
    void testAccountRateIsEnforcedAcrossDaemons() throws Exception {
        deploy(6);
        Edge first = started("front-1");
        Edge second = started("front-2");
        await(() -> listsBoth(first) && listsBoth(second));
        Thread.sleep(500);
        for (int call = 0; call < 6; call++) {
            assertEquals(200, check(first));
        }
        await(() -> check(second) == 429);
    }

    @Test
    void testUsageOfAKilledDaemonIsReportedByItsPeer() throws Exception {
        deploy(100);
        Edge holder = started("front-1");
        Edge killed = started("front-2");
        await(() -> listsBoth(holder) && listsBoth(killed));
        for (int call = 0; call < 3; call++) {
            assertEquals(200, check(killed));
        }
        Thread.sleep(1_000);
        killed.close();
        await(() -> store.duties().stream().anyMatch(duty -> duty.startsWith("/usage")));
        Thread.sleep(2_500);
        long counted = store.duties().stream()
                .filter(duty -> duty.startsWith("/usage"))
                .distinct()
                .mapToLong(duty -> Long.parseLong(duty.replaceAll(".*\"families\":(\\d+).*", "$1")))
                .sum();
        assertEquals(3, counted, store.duties().toString());
    }
}
