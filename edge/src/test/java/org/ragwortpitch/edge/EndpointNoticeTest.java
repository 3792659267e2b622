package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.edge.standin.TestEventLoop;

/**
 * Tests two daemons before endpoints that say in their responses that they leave, or for how long they want nothing.
 */
class EndpointNoticeTest {

    /** How long an endpoint may get requests after it has said that it leaves, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final long REST_MILLIS = 3_000;

    /** How long after it has asked for rest an endpoint may get requests, in milliseconds. */
    private static final long REST_NOTICED_MILLIS = 500;

    /** Requests that an endpoint may get after that until its rest ends. */
    private static final int MAX_REQUESTS_IN_REST = 2;

    private static final long PAUSE_MILLIS = 20;

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
    private final List<StandinEndpoint> services = List.of(endpoint("a-1"), endpoint("a-2"));
    private final List<StandinEndpoint> decoders = List.of(endpoint("d-1"), endpoint("d-2"));
    private final List<StandinEndpoint> prefillers = List.of(endpoint("p-1"), endpoint("p-2"));

    private StandinEndpoint endpoint(String id) {
        return closer.add(new StandinEndpoint(id));
    }

    @BeforeEach
    void deploy() {
        store.put("keyed.op", "config", DEPLOYMENT);
        services.forEach(service -> service.list(store, "app", "", "ready"));
        decoders.forEach(engine -> engine.list(store, "llm", "decode", "ready"));
        prefillers.forEach(engine -> engine.list(store, "llm", "prefill", "ready"));
    }

    @AfterEach
    void close() {
        closer.close();
    }

    /** Returns the endpoint of each kind that a daemon sends most requests to; it may send none to another. */
    private List<StandinEndpoint> busiestOfEachKind(Edge edge) throws InterruptedException {
        send(edge, REST_NOTICED_MILLIS);
        return List.of(busiest(services), busiest(decoders), busiest(prefillers));
    }

    private static StandinEndpoint busiest(List<StandinEndpoint> endpoints) {
        return endpoints.stream()
                .max(Comparator.comparing(endpoint -> endpoint.arrivalMillis().size()))
                .orElseThrow();
    }

    /** Has endpoints say in all responses that they leave, and waits until each has said so to a daemon. */
    private void sayLeaving(List<StandinEndpoint> endpoints, Edge told) throws Exception {
        endpoints.forEach(StandinEndpoint::sayLeaving);
        long from = now();
        TestDaemons.await(() -> {
            send(told, PAUSE_MILLIS);
            return endpoints.stream().allMatch(endpoint -> arrivals(endpoint, from, now()) > 0);
        });
    }

    /** Sends plain requests and generations in turn for a while. */
    private List<CompletableFuture<HttpResponse<String>>> send(Edge edge, long millis) throws InterruptedException {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (long elapsed = 0; elapsed < millis; elapsed += 2 * PAUSE_MILLIS) {
            sent.add(daemons.ask(edge, "/check/x", Optional.empty()));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            sent.add(daemons.ask(edge, "/ask/x", Optional.of("")));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return sent;
    }

    private static long now() {
        return TestEventLoop.CLOCK_MILLIS.getAsLong();
    }

    private static long arrivals(StandinEndpoint endpoint, long fromMillis, long toMillis) {
        return endpoint.arrivalMillis().stream()
                .filter(at -> at >= fromMillis && at < toMillis)
                .count();
    }

    /** Guards against DRAIN: requests to an endpoint that has said that it leaves, while the store says nothing. */
    @Test
    void testEndpointThatSaysThatItLeavesGetsNoRequests() throws Exception {
        Edge told = daemons.start("front-1");
        Edge other = daemons.start("front-2");
        List<StandinEndpoint> leaving = busiestOfEachKind(told);
        sayLeaving(leaving, told);
        send(told, DRAIN_MILLIS);
        long from = now();
        send(told, DRAIN_MILLIS);
        send(other, DRAIN_MILLIS);
        for (StandinEndpoint endpoint : leaving) {
            assertEquals(0, arrivals(endpoint, from, now()));
        }
    }

    /** Guards against DRAIN: an endpoint that leaves is used again as its entry vanishes and returns. */
    @Test
    void testEndpointThatLeavesIsNotUsedAgainUnlessItStartsAnew() throws Exception {
        Edge told = daemons.start("front-1");
        StandinEndpoint leaving = busiestOfEachKind(told).get(0);
        sayLeaving(List.of(leaving), told);
        store.put("keyed.servers", "servers/" + leaving.id(), "");
        send(told, DRAIN_MILLIS);
        leaving.list(store, "app", "", "ready");
        long from = now();
        send(told, 2 * DRAIN_MILLIS);
        assertEquals(0, arrivals(leaving, from, now()));
        leaving.restart();
        leaving.list(store, "app", "", "ready");
        send(told, 2 * DRAIN_MILLIS);
        assertTrue(arrivals(leaving, from, now()) > 0);
    }

    /** Guards against requests that wait for endpoints of which all leave. */
    @Test
    void testRequestsAreRefusedAtOnceIfAllEndpointsLeave() throws Exception {
        Edge told = daemons.start("front-1");
        services.forEach(StandinEndpoint::sayLeaving);
        decoders.forEach(StandinEndpoint::sayLeaving);
        prefillers.forEach(StandinEndpoint::sayLeaving);
        send(told, DRAIN_MILLIS);
        long from = now();
        for (CompletableFuture<HttpResponse<String>> response : send(told, PAUSE_MILLIS)) {
            assertEquals(503, response.get().statusCode());
        }
        assertTrue(now() - from < REST_NOTICED_MILLIS);
    }

    /** Guards against BUDGET: requests to an endpoint that has asked for rest. */
    @ParameterizedTest
    @ValueSource(strings = {"3", "3.0"})
    void testEndpointThatAsksForRestGetsNoRequests(String seconds) throws Exception {
        Edge edge = daemons.start("front-1");
        List<StandinEndpoint> resting = busiestOfEachKind(edge);
        for (StandinEndpoint endpoint : resting) {
            endpoint.rest(seconds);
            endpoint.mode(StandinEndpoint.Mode.FULL);
        }
        long from = now();
        send(edge, 2 * REST_MILLIS);
        for (StandinEndpoint endpoint : resting) {
            long asked = endpoint.arrivalMillis().stream()
                    .filter(at -> at >= from)
                    .findFirst()
                    .orElseThrow();
            long inRest = arrivals(endpoint, asked + REST_NOTICED_MILLIS, asked + REST_MILLIS);
            assertTrue(inRest <= MAX_REQUESTS_IN_REST, inRest + " requests");
        }
    }

    /** Guards against BUDGET where no other endpoint is left, and against requests that wait for the rest's end. */
    @Test
    void testRequestsAreRefusedAtOnceIfAllEndpointsRest() throws Exception {
        Edge edge = daemons.start("front-1");
        services.forEach(service -> service.rest("3"));
        services.forEach(service -> service.mode(StandinEndpoint.Mode.FULL));
        long from = now();
        send(edge, REST_NOTICED_MILLIS);
        HttpResponse<String> refusal =
                daemons.ask(edge, "/check/x", Optional.empty()).get();
        assertEquals(503, refusal.statusCode());
        double retryAfterSeconds =
                Double.parseDouble(refusal.headers().firstValue("retry-after").orElse("0"));
        assertTrue(retryAfterSeconds > 1 && retryAfterSeconds <= 3, "Retry-After " + retryAfterSeconds);
        send(edge, REST_MILLIS - (now() - from) - 2 * PAUSE_MILLIS);
        for (StandinEndpoint service : services) {
            assertTrue(arrivals(service, from + REST_NOTICED_MILLIS, from + REST_MILLIS) <= MAX_REQUESTS_IN_REST);
        }
    }
}
