package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.PartitionableLink;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.StutteringPeer;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests what callers get from endpoints whose responses are faulty, whole as they may look.
 */
class EndpointFaultsTest {

    /** Statuses that promise a caller that its request has not been executed and never will be. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int CALLS = 6;

    /** Longer than a daemon leaves an endpoint alone that refused a request, in milliseconds. */
    private static final long REFUSAL_PAUSE_MILLIS = 300;

    private static final String WHOLE_STREAM =
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n";

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe","TimeoutMs":2000,
            "TargetLatencyMs":500,"Service":"app","MaxAttempts":1},
            {"Name":"book","Host":"127.0.0.1","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":2000,
            "TargetLatencyMs":500,"Service":"app","MaxAttempts":1},
            {"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":400,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":150},
            {"Name":"once","Host":"127.0.0.1","PathPrefix":"/once/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":400,"Service":"llm","MaxAttempts":1,"TargetGapMs":150}],
            "Services":[{"Name":"app","MaxConnections":100},{"Name":"llm","MaxConnections":100,
            "Engine":{"Slots":64,"KvCapacityTokens":500000,"KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final List<StandinEndpoint> services = endpoints("a-1", "a-2");
    private final List<StandinEndpoint> engines = endpoints("e-1", "e-2");

    private List<StandinEndpoint> endpoints(String... ids) {
        return Stream.of(ids).map(id -> closer.add(new StandinEndpoint(id))).toList();
    }

    @BeforeEach
    void deploy() {
        store.put("keyed.op", "config", DEPLOYMENT);
        services.forEach(service -> service.list(store, "app", "", "ready"));
        engines.forEach(engine -> engine.list(store, "llm", "decode", "ready"));
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private Stream<StandinEndpoint> all() {
        return Stream.concat(services.stream(), engines.stream());
    }

    private long executed() {
        return all().mapToLong(endpoint -> endpoint.executedRequests().size()).sum();
    }

    private HttpResponse<String> call(Edge edge, String route) throws Exception {
        boolean generation = "ask".equals(route) || "once".equals(route);
        return daemons.ask(edge, "/" + route + "/x", generation ? Optional.of("a1:1000") : Optional.empty())
                .get();
    }

    /** Guards against a stream that its engine stops within an event, in order, and that looks complete. */
    @Test
    void testStreamThatItsEngineStopsWithinAnEventGoesOnElsewhere() throws Exception {
        Edge edge = daemons.start("front-1");
        engines.get(0).mode(StandinEndpoint.Mode.STOPPING);
        for (int call = 0; call < CALLS; call++) {
            assertEquals(WHOLE_STREAM, call(edge, "ask").body());
        }
        assertFalse(engines.get(0).executedRequests().isEmpty(), "a stream was stopped at least once");
    }

    /** Guards against a stopped stream that looks complete, as no other engine may go on with it. */
    @ParameterizedTest
    @ValueSource(strings = {"ask", "once"})
    void testStreamThatIsStoppedWithinAnEventIsBrokenOff(String route) throws Exception {
        Edge edge = daemons.start("front-1");
        engines.forEach(engine -> engine.mode(StandinEndpoint.Mode.STOPPING));
        assertThrows(ExecutionException.class, () -> call(edge, route), "a stopped stream must not look complete");
    }

    /** Guards against a promise that a request was not executed, made of an endpoint's status that states nothing. */
    @ParameterizedTest
    @CsvSource({
        "book, 503",
        "book, 429",
        "book, 408",
        "book, 421",
        "check, 503",
        "check, 429",
        "once, 503",
        "once, 429",
        "once, 408",
        "once, 421",
        "ask, 503",
        "ask, 429"
    })
    void testStatusOfAnExecutedRequestPromisesNothing(String route, int status) throws Exception {
        Edge edge = daemons.start("front-1");
        all().forEach(endpoint -> endpoint.failAfterRunning(status));
        HttpResponse<String> response = call(edge, route);
        assertTrue(executed() > 0);
        assertEquals(502, response.statusCode());
        assertTrue(response.headers().firstValue(Headers.SEAL).isEmpty(), "the endpoint didn't send this status");
    }

    /** Guards against the same promise, passed on by a daemon that the request was handed to. */
    @ParameterizedTest
    @CsvSource({"book, 503", "book, 429", "once, 503", "check, 503"})
    void testStatusOfAPassedOnRequestPromisesNothing(String route, int status) throws Exception {
        Map<Integer, Integer> ports = new HashMap<>();
        Map<Integer, PartitionableLink> links = new HashMap<>();
        for (StandinEndpoint endpoint : all().toList()) {
            PartitionableLink link = closer.add(new PartitionableLink(endpoint.port()));
            links.put(endpoint.port(), link);
            ports.put(endpoint.port(), link.port());
        }
        Edge cut = daemons.startAt("front-1", store.addressWithPorts(ports));
        Edge other = daemons.start("front-2");
        TestDaemons.await(() -> daemons.resolve(cut) == 2 && daemons.resolve(other) == 2);
        for (PartitionableLink link : links.values()) {
            link.partition(PartitionableLink.Partition.RESET);
        }
        TestDaemons.await(() -> call(cut, route).statusCode() == 200);
        all().forEach(endpoint -> endpoint.failAfterRunning(status));
        long before = executed();
        HttpResponse<String> response = call(cut, route);
        assertTrue(executed() > before, "the other daemon's endpoint executed the request");
        assertFalse(PROMISES.contains(response.statusCode()), "status " + response.statusCode());
    }

    /** Guards against a stream that a caller takes up and that is stopped once more. */
    @Test
    void testResumedStreamThatIsStoppedGoesOnElsewhere() throws Exception {
        Edge edge = daemons.start("front-1");
        engines.get(0).mode(StandinEndpoint.Mode.STOPPING);
        for (int call = 0; call < CALLS; call++) {
            String attempt = UUID.randomUUID().toString();
            Map<String, String> headers = Map.of(Headers.LAST_EVENT, "1");
            String body = new String(daemons.stream(edge, "/ask/x", attempt, headers)
                    .get()
                    .body()
                    .readAllBytes());
            assertEquals(WHOLE_STREAM.substring(WHOLE_STREAM.indexOf("id: 2")), body);
        }
        assertFalse(engines.get(0).executedRequests().isEmpty(), "a stream was stopped at least once");
    }

    /** Guards against an earlier refusal, written once more, by which an executed request is refused or sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"book", "check"})
    void testRefusalThatIsWrittenOnceMoreRefusesNoLaterRequest(String route) throws Exception {
        String refusal = "HTTP/1.1 503 Busy\r\n%sX-Ragwortpitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        String identified = refusal.formatted("X-Ragwortpitch-Attempt-Id: " + ScriptedPeer.ID + "\r\n");
        List<ScriptedPeer> peers = List.of(
                closer.add(new ScriptedPeer(identified, refusal.formatted(""))),
                closer.add(new ScriptedPeer(identified, refusal.formatted(""))));
        services.forEach(service -> service.list(store, "other", "", "ready"));
        peers.forEach(peer -> listService("s-" + peers.indexOf(peer), peer.address()));
        Edge edge = daemons.start("front-1");
        assertEquals(503, call(edge, route).statusCode(), "both have refused it, as they state");
        Thread.sleep(REFUSAL_PAUSE_MILLIS);
        assertEquals(502, call(edge, route).statusCode(), "one may have executed it");
        assertEquals(3, peers.stream().mapToInt(peer -> peer.requests().size()).sum());
    }

    /** Guards against a failure that reaches its caller as a success, after part of the head of an extra response. */
    @ParameterizedTest
    @ValueSource(strings = {"book", "check"})
    void testFailureAfterPartOfAnExtraHeadIsNoSuccessToItsCaller(String route) throws Exception {
        HttpResponse<String> second = secondAnswerAfter(
                route, present -> "HTTP/1.1 200 OK\r\nServer: x" + present.replace("200 OK", "500 Internal"));
        assertTrue(second.statusCode() >= 500, second.statusCode() + " " + second.headers());
    }

    /** Guards against a promise that an executed request was not, after part of the head of an earlier refusal. */
    @Test
    void testSuccessAfterPartOfAnExtraRefusalIsNotRefused() throws Exception {
        HttpResponse<String> second =
                secondAnswerAfter("book", present -> "HTTP/1.1 503 Busy\r\n" + Headers.NOT_EXECUTED + ": 1" + present);
        assertFalse(PROMISES.contains(second.statusCode()), second.statusCode() + " " + second.body());
    }

    /**
     * Returns the second answer over a connection to the only endpoint of the service.
     *
     * @param written what the endpoint writes in place of the second answer
     */
    private HttpResponse<String> secondAnswerAfter(String route, UnaryOperator<String> written) throws Exception {
        StutteringPeer peer = closer.add(
                new StutteringPeer((previous, present) -> previous.isEmpty() ? present : written.apply(present)));
        services.forEach(service -> service.list(store, "other", "", "ready"));
        listService("s-1", peer.address());
        Edge edge = daemons.start("front-1");
        assertEquals(200, call(edge, route).statusCode());
        return call(edge, route);
    }

    private void listService(String id, String address) {
        store.put(
                "keyed.servers",
                "servers/" + id,
                "{\"Service\":\"app\",\"Address\":\"" + address + "\",\"Version\":\"v1\",\"Zone\":\"a\","
                        + "\"Slots\":6,\"State\":\"ready\",\"Sequence\":1,\"born\":1}");
    }

    /**
     * Guards against the answer of another caller, written once more without its attempt id while the next request on
     * the connection is under way.
     */
    @ParameterizedTest
    @ValueSource(strings = {"book", "check"})
    void testAnswerWrittenOnceMoreReachesNoOtherCaller(String route) throws Exception {
        services.forEach(service -> service.list(store, "other", "", "ready"));
        StutteringPeer peer = closer.add(new StutteringPeer(
                (previous, present) -> present + StutteringPeer.LATER + StutteringPeer.withoutId(present)));
        listService("s-1", peer.address());
        Edge edge = daemons.start("front-1");
        for (int number = 1; number <= CALLS; number++) {
            HttpResponse<String> response = call(edge, route);
            String sent = peer.requests().get(number - 1).toLowerCase(Locale.ROOT);
            assertEquals(200, response.statusCode());
            assertTrue(sent.contains(response.body().replaceAll(".* ", "")), response.body());
            assertTrue(response.body().startsWith("answer " + number + " "), response.body());
        }
        assertTrue(peer.connections() < CALLS, "requests share connections");
    }
}
