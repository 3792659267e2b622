package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.PartitionableLink;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests daemons of failure domain a before endpoints of the domains a and b, while an operator evacuates domains.
 */
class EvacuationTest {

    /** Time after the operator's record, in milliseconds, after which no request may reach the domain: EvacuateMs. */
    private static final long EVACUATE_MILLIS = 5_000;

    /** Time within which daemons that read the store know of a record, in milliseconds. */
    private static final long READ_MILLIS = 500;

    private static final long SENDING_MILLIS = 800;

    private static final long PAUSE_MILLIS = 20;

    /** Time after which a refusal counts as delayed, in milliseconds; far below the route's timeout of 8 s. */
    private static final long AT_ONCE_MILLIS = 1_000;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe","TimeoutMs":600,
            "TargetLatencyMs":121,"Service":"app","MaxAttempts":2},
            {"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":400,"Service":"llm","MaxAttempts":3,"AllowResume":true,"TargetGapMs":150}],
            "Services":[{"Name":"app","MaxConnections":100},{"Name":"llm","MaxConnections":100,
            "Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint decoderOfA = endpoint("d-a", "a");
    private final StandinEndpoint decoderOfB = endpoint("d-b", "b");
    private final StandinEndpoint prefillerOfB = endpoint("p-b", "b");
    private final StandinEndpoint serviceOfA = endpoint("s-a", "a");
    private final StandinEndpoint serviceOfB = endpoint("s-b", "b");

    private StandinEndpoint endpoint(String id, String domain) {
        return closer.add(new StandinEndpoint(id)).in(domain);
    }

    @BeforeEach
    void deploy() {
        store.put("keyed.op", "config", DEPLOYMENT);
        Stream.of(serviceOfA, serviceOfB).forEach(service -> service.list(store, "app", "", "ready"));
        Stream.of(decoderOfA, decoderOfB).forEach(engine -> engine.list(store, "llm", "decode", "ready"));
        prefillerOfB.list(store, "llm", "prefill", "ready");
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private void evacuate(String domain) {
        store.put("keyed.op", "evacuate/" + domain, "{}");
    }

    private void cancel(String domain) {
        store.put("keyed.op", "evacuate/" + domain, "");
    }

    private long arrivalsInA(long fromMillis) {
        return Stream.of(serviceOfA, decoderOfA)
                .flatMap(endpoint -> endpoint.arrivalMillis().stream())
                .filter(at -> at >= fromMillis)
                .count();
    }

    private static long now() {
        return TestEventLoop.CLOCK_MILLIS.getAsLong();
    }

    /**
     * Sends plain requests and generations in turn for a while. Engines refuse some when this machine is slow, but none
     * is refused for lack of endpoints.
     */
    private void serve(Edge edge, long millis) throws Exception {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (long until = now() + millis; now() < until; TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS)) {
            sent.add(daemons.ask(edge, "/check/x", Optional.empty()));
            sent.add(daemons.ask(edge, "/ask/x", Optional.of("")));
        }
        int[] served = new int[2];
        for (int index = 0; index < sent.size(); index++) {
            HttpResponse<String> response = sent.get(index).get();
            served[index % 2] += response.statusCode() == 200 ? 1 : 0;
            assertFalse(response.body().contains("evacuated"), response.body());
        }
        assertTrue(served[0] > 0 && served[1] > 0, "both kinds of requests are served");
    }

    private boolean isServed(Edge edge) throws Exception {
        return daemons.ask(edge, "/check/x", Optional.empty()).get().statusCode() == 200;
    }

    /** Guards against requests to an evacuated domain, also by a daemon that only gossip tells of it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void testEvacuatedDomainGetsNoRequestsUntilItIsCancelled(boolean cutFromStore) throws Exception {
        int storePort = Integer.parseInt(store.address().split(":")[1]);
        PartitionableLink link = closer.add(new PartitionableLink(storePort));
        Edge reading = daemons.start("front-1");
        Edge other = daemons.startAt("front-2", "127.0.0.1:" + link.port());
        TestDaemons.await(() -> daemons.resolve(reading) == 2 && daemons.resolve(other) == 2);
        serve(other, SENDING_MILLIS);
        assertTrue(arrivalsInA(0) > 0, "the daemons prefer the endpoints of their own domain");
        if (cutFromStore) {
            link.partition(PartitionableLink.Partition.RESET);
        }
        evacuate("a");
        evacuate("unknown");
        long acknowledged = now();
        TimeUnit.MILLISECONDS.sleep(2 * READ_MILLIS);
        long from = now();
        assertTrue(from - acknowledged < EVACUATE_MILLIS);
        serve(reading, SENDING_MILLIS);
        serve(other, SENDING_MILLIS);
        assertEquals(0, arrivalsInA(from));
        cancel("a");
        TestDaemons.await(() -> isServed(other) && arrivalsInA(from) > 0);
    }

    /** Guards against a daemon that is ready before it knows the evacuations, and that forgets them with the store. */
    @Test
    void testDaemonThatStartsDuringAnEvacuationObeysItWhileTheStoreIsAway() throws Exception {
        evacuate("a");
        Edge edge = daemons.start("front-1");
        serve(edge, SENDING_MILLIS);
        store.down(true);
        serve(edge, SENDING_MILLIS);
        assertEquals(0, arrivalsInA(0));
    }

    /** Guards against requests that wait for endpoints of evacuated domains, and callers that don't learn why. */
    @Test
    void testRequestsAreRefusedAtOnceWhenTheLastDomainIsEvacuated() throws Exception {
        Edge edge = daemons.start("front-1");
        evacuate("a");
        evacuate("b");
        TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
        for (String path : List.of("/check/x", "/ask/x")) {
            long sent = now();
            HttpResponse<String> response = daemons.ask(
                            edge, path, path.startsWith("/ask") ? Optional.of("") : Optional.empty())
                    .get();
            assertTrue(now() - sent < AT_ONCE_MILLIS, path);
            assertEquals(503, response.statusCode(), path);
            assertTrue(response.body().contains("evacuated are not used: a,b"), response.body());
            String retryAfter =
                    response.headers().firstValue(Headers.RETRY_AFTER).orElseThrow();
            assertTrue(Double.parseDouble(retryAfter) >= 1, retryAfter);
        }
        cancel("b");
        TestDaemons.await(() -> isServed(edge));
    }

    /** Guards against a decode that was placed before the evacuation and is sent after it, when its prefill is done. */
    @Test
    void testDecodePlacedBeforeAnEvacuationIsSentElsewhere() throws Exception {
        Edge edge = daemons.start("front-1");
        prefillerOfB.pace(READ_MILLIS);
        CompletableFuture<HttpResponse<String>> response = daemons.ask(edge, "/ask/x", Optional.of(""));
        TestDaemons.await(() -> prefillerOfB.prefills() == 1);
        evacuate("a");
        assertEquals(200, response.get().statusCode());
        assertEquals(1, decoderOfB.executedRequests().size());
        assertEquals(List.of(), decoderOfA.arrivalMillis());
    }

    /** Guards against streams that are cut because the domain of their engine is evacuated. */
    @Test
    void testStreamThatRunsInTheDomainFinishesThere() throws Exception {
        Edge edge = daemons.start("front-1");
        decoderOfA.pace(2 * PAUSE_MILLIS * 5);
        CompletableFuture<HttpResponse<String>> response = daemons.ask(edge, "/ask/x", Optional.of(""));
        TestDaemons.await(() -> decoderOfA.executedRequests().size() == 1);
        evacuate("a");
        assertTrue(response.get().body().contains("id: 5"), response.get().body());
        assertEquals(0, decoderOfB.executedRequests().size());
    }
}
