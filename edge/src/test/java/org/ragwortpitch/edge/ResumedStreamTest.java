package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.EngineResponse;
import org.ragwortpitch.edge.standin.EngineResponse.Framing;
import org.ragwortpitch.edge.standin.ReceivedResponse;
import org.ragwortpitch.edge.standin.ScriptedEngines;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests what callers get of a stream that broke off after two events, if the next engine answers with something other
 * than the rest of it. A caller gets the rest from a third engine, or sees that the stream broke off.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ResumedStreamTest {

    private static final int ENGINES = 3;

    /** Streams at the same time; more would wait for connections. */
    private static final int PARALLEL_STREAMS = 8;

    private static final String BEGINNING = ScriptedEngines.events(1, 2);

    private static final String REST = ScriptedEngines.eventsAfter(2);

    private static final List<Integer> STATUSES =
            List.of(200, 201, 202, 204, 206, 301, 302, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504);

    private static final List<String> CONTENT_TYPES =
            List.of("text/plain", "application/json", EngineResponse.EVENT_STREAM, "");

    /** What an engine may send other than the rest; text that ends in a blank line looks like an event. */
    private static final List<String> BODIES = List.of(
            "",
            "upstream failed",
            "upstream failed\n\n",
            "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed",
            ScriptedEngines.events(1, 1),
            ScriptedEngines.eventsAfter(3),
            "event: error\ndata: upstream failed\n\n",
            ScriptedEngines.events(3, 3) + "upstream failed\n\n",
            ScriptedEngines.events(3, 3) + ScriptedEngines.events(5, 5));

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"one","Host":"127.0.0.1","PathPrefix":"/1/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":1,"AllowResume":true,"TargetGapMs":500},
            {"Name":"two","Host":"127.0.0.1","PathPrefix":"/2/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":500},
            {"Name":"three","Host":"127.0.0.1","PathPrefix":"/3/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":3,"AllowResume":true,"TargetGapMs":500}],
            "Services":[{"Name":"llm","MaxConnections":1000,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}}]}
            """;

    private final Closer closer = new Closer();
    private final ExecutorService callers = Executors.newFixedThreadPool(PARALLEL_STREAMS);
    private ScriptedEngines engines;
    private Edge edge;

    /** Reaches the first engine alone, and passes requests on to the other daemon. */
    private Edge cutEdge;

    @BeforeAll
    void start() throws Exception {
        engines = closer.add(new ScriptedEngines(ENGINES));
        StandinStore store = closer.add(new StandinStore());
        TestDaemons daemons = closer.add(new TestDaemons(store));
        store.put("keyed.op", "config", DEPLOYMENT);
        engines.list(store, "llm");
        Map<Integer, Integer> ports = new HashMap<>();
        for (String address : engines.addresses().subList(1, ENGINES)) {
            ports.put(port(address), refusingPort());
        }
        edge = daemons.startWithAmpleRetryBudget("front-1", store.address());
        cutEdge = daemons.startWithAmpleRetryBudget("front-2", store.addressWithPorts(ports));
        TestDaemons.await(() -> daemons.resolve(edge) == 2 && daemons.resolve(cutEdge) == 2);
        TestDaemons.await(() -> isPassedOn());
    }

    private boolean isPassedOn() throws IOException {
        String attempt = UUID.randomUUID().toString();
        engines.play(attempt, beginning(ScriptedPeer.CLOSE));
        return (BEGINNING + REST)
                .equals(receive(cutEdge, "/3/x", attempt, Map.of()).body());
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Returns a port that refuses connections and that nobody else gets: bound, but not listening. */
    private int refusingPort() throws IOException {
        Socket socket = closer.add(new Socket());
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket.getLocalPort();
    }

    @AfterAll
    void close() {
        callers.shutdownNow();
        closer.close();
    }

    private static ReceivedResponse receive(Edge daemon, String path, String attempt, Map<String, String> headers)
            throws IOException {
        return ReceivedResponse.to(daemon, path, attempt, headers);
    }

    private static String beginning(String marker) {
        return beginning(marker, EngineResponse.EVENT_STREAM, "");
    }

    private static String beginning(String marker, String contentType, String partOfAnEvent) {
        return new EngineResponse(200, true, contentType, Framing.CHUNKED, BEGINNING + partOfAnEvent)
                .brokenOffBy(marker);
    }

    /** Returns one of the ways in which a stream breaks off: closed or reset, after or within an event. */
    private static String beginning(int way) {
        return beginning(
                way % 2 == 0 ? ScriptedPeer.CLOSE : ScriptedPeer.RESET,
                EngineResponse.EVENT_STREAM,
                way / 2 % 2 == 0 ? "" : "id: 3\nda");
    }

    static Stream<Arguments> statuses() {
        return STATUSES.stream().flatMap(status -> Stream.of(Arguments.of(status, true), Arguments.of(status, false)));
    }

    /** Returns responses of each content type and framing, with all bodies in turn; a success with each body. */
    private static List<EngineResponse> responses(int status, boolean sealed) {
        List<EngineResponse> responses = new ArrayList<>();
        int next = status;
        for (String contentType : CONTENT_TYPES) {
            for (Framing framing : Framing.values()) {
                int bodies = status == 200 ? BODIES.size() : 1;
                for (int body = 0; body < bodies; body++) {
                    responses.add(new EngineResponse(
                            status, sealed, contentType, framing, BODIES.get(next++ % BODIES.size())));
                }
            }
        }
        return responses;
    }

    /** Returns whether an engine states that a stream has no events left, as its last one had been sent before. */
    private static boolean endsStream(EngineResponse response) {
        return response.status() == 200
                && response.sealed()
                && response.contentType().equals(EngineResponse.EVENT_STREAM)
                && response.framing() != Framing.CLOSE
                && response.body().isEmpty();
    }

    /** Returns whether an engine may state this too, as some state no content type. */
    private static boolean mayEndStream(EngineResponse response) {
        return endsStream(response)
                || endsStream(new EngineResponse(
                                response.status(),
                                response.sealed(),
                                EngineResponse.EVENT_STREAM,
                                response.framing(),
                                response.body()))
                        && response.contentType().isEmpty();
    }

    /** Plays one case for each response, and returns what went wrong. */
    private List<String> failures(List<EngineResponse> responses, Case oneCase) throws Exception {
        List<Future<Optional<String>>> results = new ArrayList<>();
        for (int index = 0; index < responses.size(); index++) {
            EngineResponse response = responses.get(index);
            int way = index;
            results.add(callers.submit(() -> oneCase.play(response, way).map(fault -> response + ": " + fault)));
        }
        List<String> failures = new ArrayList<>();
        for (Future<Optional<String>> result : results) {
            result.get().ifPresent(failures::add);
        }
        return failures;
    }

    private static void assertNone(List<String> failures, List<EngineResponse> responses) {
        assertEquals(
                Collections.emptyList(),
                failures,
                () -> failures.size() + " of " + responses.size() + " responses reached callers wrongly");
    }

    private Optional<String> faultOfResumed(Edge daemon, String path, EngineResponse response, int way, boolean third)
            throws IOException {
        String attempt = UUID.randomUUID().toString();
        engines.play(attempt, beginning(way), response.script());
        ReceivedResponse received = receive(daemon, path, attempt, Map.of());
        boolean right = endsStream(response)
                ? received.complete() && received.body().equals(BEGINNING)
                : third
                        ? received.complete() && received.body().equals(BEGINNING + REST)
                        : !received.complete()
                                && received.body().startsWith(BEGINNING)
                                && (BEGINNING + REST).startsWith(received.body());
        boolean played = engines.sends(attempt) >= 2 && engines.sends(attempt) <= (third ? 3 : 2);
        return received.status() == 200 && right && played && received.excess().isEmpty()
                ? Optional.empty()
                : Optional.of(engines.sends(attempt) + " sends, " + attempt + ", " + received);
    }

    /** Guards against a failure of the next engine that callers read in their stream, or that ends it as complete. */
    @ParameterizedTest
    @MethodSource("statuses")
    void testStreamGoesOnAtAThirdEngine(int status, boolean sealed) throws Exception {
        List<EngineResponse> responses = responses(status, sealed);
        assertNone(
                failures(responses, (response, way) -> faultOfResumed(edge, "/3/x", response, way, true)), responses);
    }

    /** Guards against the same, where no further engine may be tried. */
    @ParameterizedTest
    @MethodSource("statuses")
    void testStreamIsBrokenOffAfterTheLastEngine(int status, boolean sealed) throws Exception {
        List<EngineResponse> responses = responses(status, sealed);
        assertNone(
                failures(responses, (response, way) -> faultOfResumed(edge, "/2/x", response, way, false)), responses);
    }

    /** Guards against the same, where the daemon passes the request on to another one after the beginning. */
    @ParameterizedTest
    @MethodSource("statuses")
    void testStreamThatIsPassedOnIsWholeOrBrokenOff(int status, boolean sealed) throws Exception {
        List<EngineResponse> responses = responses(status, sealed);
        assertNone(failures(responses, (response, way) -> faultOfPassedOn(response, way)), responses);
    }

    private Optional<String> faultOfPassedOn(EngineResponse response, int way) throws IOException {
        String attempt = UUID.randomUUID().toString();
        engines.play(attempt, beginning(way), response.script(), response.script());
        ReceivedResponse received = receive(cutEdge, "/2/x", attempt, Map.of());
        boolean ended =
                mayEndStream(response) && received.complete() && received.body().equals(BEGINNING);
        boolean whole = received.complete() && received.body().equals(BEGINNING + REST);
        boolean brokenOff = !received.complete() && (BEGINNING + REST).startsWith(received.body());
        boolean played = engines.sends(attempt) >= 2;
        return (ended || whole || brokenOff)
                        && received.status() == 200
                        && played
                        && received.excess().isEmpty()
                ? Optional.empty()
                : Optional.of(engines.sends(attempt) + " sends, " + attempt + ", " + received);
    }

    private Optional<String> faultOfTakenUp(Edge daemon, String path, EngineResponse response, int way)
            throws IOException {
        String first = UUID.randomUUID().toString();
        engines.play(first, beginning(way));
        ReceivedResponse begun = receive(edge, "/1/x", first, Map.of());
        String attempt = UUID.randomUUID().toString();
        engines.play(attempt, response.script());
        ReceivedResponse received =
                receive(daemon, path, attempt, Map.of(Headers.LAST_EVENT, "2", Headers.RESUMED_ATTEMPT, first));
        boolean ended =
                mayEndStream(response) && received.complete() && received.body().isEmpty();
        boolean whole = received.complete() && received.body().equals(REST);
        boolean brokenOff = !received.complete() && REST.startsWith(received.body());
        boolean failed = received.status() >= 300;
        boolean played = begun.body().equals(BEGINNING) && engines.sends(attempt) >= 1;
        boolean right = failed || received.status() == 200 && (ended || whole || brokenOff);
        return right && played && received.excess().isEmpty()
                ? Optional.empty()
                : Optional.of(engines.sends(attempt) + " sends, " + attempt + ", " + received);
    }

    /** Guards against a failure that a caller who takes a stream up reads as the rest of it. */
    @ParameterizedTest
    @MethodSource("statuses")
    void testCallerWhoTakesAStreamUpGetsItsRestOrAFailure(int status, boolean sealed) throws Exception {
        List<EngineResponse> responses = responses(status, sealed);
        assertNone(failures(responses, (response, way) -> faultOfTakenUp(edge, "/1/x", response, way)), responses);
    }

    /** Guards against the same, where another engine has the rest. */
    @ParameterizedTest
    @MethodSource("statuses")
    void testCallerWhoTakesAStreamUpGetsItsRestFromAnotherEngine(int status, boolean sealed) throws Exception {
        List<EngineResponse> responses = responses(status, sealed);
        assertNone(failures(responses, (response, way) -> faultOfTakenUp(edge, "/2/x", response, way)), responses);
    }

    /** Guards against a check of content types that breaks off the streams of engines which state none. */
    @ParameterizedTest
    @CsvSource({"LENGTH, true", "CHUNKED, true", "LENGTH, false", "CHUNKED, false", "CLOSE, false"})
    void testStreamOfEnginesThatStateNoContentTypeGoesOn(Framing framing, boolean nothingLeft) throws Exception {
        String attempt = UUID.randomUUID().toString();
        EngineResponse rest = new EngineResponse(200, true, "", framing, nothingLeft ? "" : REST);
        engines.play(attempt, beginning(ScriptedPeer.CLOSE, "", ""), rest.script());
        ReceivedResponse received = receive(edge, "/2/x", attempt, Map.of());
        assertTrue(received.complete(), received.toString());
        assertEquals(BEGINNING + (nothingLeft ? "" : REST), received.body());
    }

    /** Guards against a stream that begins anew at another engine, as no id tells what the caller has of it. */
    @Test
    void testStreamOfEventsWithoutIdsIsBrokenOff() throws Exception {
        String attempt = UUID.randomUUID().toString();
        String begun = "data: piece 1\n\n";
        engines.play(
                attempt,
                new EngineResponse(200, true, EngineResponse.EVENT_STREAM, Framing.CHUNKED, begun)
                        .brokenOffBy(ScriptedPeer.CLOSE));
        ReceivedResponse received = receive(edge, "/3/x", attempt, Map.of());
        assertFalse(received.complete(), received.toString());
        assertEquals(begun, received.body());
        assertEquals(1, engines.sends(attempt));
    }

    /** Plays a response of the next engine and returns what the caller got wrong; empty if nothing. */
    private interface Case {

        Optional<String> play(EngineResponse response, int way) throws IOException;
    }
}
