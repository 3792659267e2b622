package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests daemons before engines of two software versions, whose events don't fit together in one stream.
 */
class StreamVersionTest {

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d)\n\n");

    private static final int LAST_EVENT = 5;

    private static final int STREAMS = 20;

    /** How long answers of the store are on their way to a daemon out of step, in milliseconds. */
    private static final long DELAY_MILLIS = 1_400;

    /** How long after the listing of an engine other daemons begin streams there, in milliseconds. */
    private static final long SETTLING_MILLIS = 1_500;

    /** How long daemons may take to learn of each other and of engines, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final String DEPLOYMENT =
            """
            {"Version":1,"Routes":[
            {"Name":"once","Host":"127.0.0.1","PathPrefix":"/once/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":1,"AllowResume":true,"TargetGapMs":150},
            {"Name":"again","Host":"127.0.0.1","PathPrefix":"/again/","Kind":"streaming","TimeoutMs":8000,
            "TargetLatencyMs":2000,"Service":"llm","MaxAttempts":3,"AllowResume":true,"TargetGapMs":150},
            {"Name":"short","Host":"127.0.0.1","PathPrefix":"/short/","Kind":"streaming","TimeoutMs":500,
            "TargetLatencyMs":200,"Service":"llm","MaxAttempts":1,"AllowResume":true,"TargetGapMs":150}],
            "Services":[{"Name":"llm","MaxConnections":100,"Engine":{"Slots":64,"KvCapacityTokens":500000,
            "KvTokenBytes":1,"LinkMbps":1000}}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final Map<String, List<StandinEndpoint>> engines = Map.of(
            "v1",
            List.of(engine("i-1", "v1"), engine("i-2", "v1")),
            "v2",
            List.of(engine("i-3", "v2"), engine("i-4", "v2")));

    private StandinEndpoint engine(String id, String version) {
        StandinEndpoint engine = closer.add(new StandinEndpoint(id));
        engine.version(version);
        return engine;
    }

    @BeforeEach
    void deploy() {
        store.put("keyed.op", "config", DEPLOYMENT);
        engines.values().forEach(list -> list.forEach(engine -> engine.list(store, "llm", "decode", "ready")));
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private void mode(StandinEndpoint.Mode mode) {
        engines.values().forEach(list -> list.forEach(engine -> engine.mode(mode)));
    }

    private void leave(String version) throws InterruptedException {
        engines.get(version).forEach(engine -> engine.list(store, "llm", "decode", "draining"));
        Thread.sleep(CONTACT_MILLIS);
    }

    /** Sends an attempt and returns the versions of the events that it brings, by event. */
    private Map<Integer, String> stream(Edge edge, String path, String attempt, Map<String, String> headers)
            throws Exception {
        return events(daemons.stream(edge, path, attempt, headers).get());
    }

    private static Map<Integer, String> events(HttpResponse<InputStream> response) {
        StringBuilder text = new StringBuilder();
        try (InputStream body = response.body()) {
            for (int next = body.read(); next >= 0; next = body.read()) {
                text.append((char) next);
            }
        } catch (IOException exception) {
            // A stream that breaks off ends so; what arrived before it counts.
            return eventsIn(text);
        }
        return eventsIn(text);
    }

    private static Map<Integer, String> eventsIn(CharSequence text) {
        return EVENT.matcher(text)
                .results()
                .collect(Collectors.toMap(match -> Integer.parseInt(match.group(1)), match -> match.group(2)));
    }

    /** Takes a stream up after its last event. */
    private Map<Integer, String> resume(Edge edge, String attempt, Map<Integer, String> events) throws Exception {
        return stream(
                edge,
                "/once/x",
                UUID.randomUUID().toString(),
                Map.of(Headers.LAST_EVENT, String.valueOf(events.size()), Headers.RESUMED_ATTEMPT, attempt));
    }

    /** Begins streams that break off, and returns their events by attempt. */
    private Map<String, Map<Integer, String>> begin(Edge edge) throws Exception {
        mode(StandinEndpoint.Mode.BREAKING);
        Map<String, Map<Integer, String>> begun = new HashMap<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            String attempt = UUID.randomUUID().toString();
            begun.put(attempt, stream(edge, "/once/x", attempt, Map.of()));
        }
        mode(StandinEndpoint.Mode.GOOD);
        begun.forEach((attempt, events) -> assertFalse(events.isEmpty(), "a stream broke before its first event"));
        assertEquals(Set.of("v1", "v2"), versions(begun.values()), "versions that began streams");
        return begun;
    }

    private static Set<String> versions(Iterable<Map<Integer, String>> streams) {
        Set<String> versions = new HashSet<>();
        streams.forEach(events -> versions.addAll(events.values()));
        return versions;
    }

    /** Takes up all streams at a daemon and returns how many go on to their end. */
    private int resumeAll(Edge edge, Map<String, Map<Integer, String>> begun) throws Exception {
        int completed = 0;
        for (Map.Entry<String, Map<Integer, String>> stream : begun.entrySet()) {
            Map<Integer, String> events = new HashMap<>(stream.getValue());
            events.putAll(resume(edge, stream.getKey(), stream.getValue()));
            assertEquals(1, versions(List.of(events)).size(), "versions in one stream: " + events);
            completed += events.size() == LAST_EVENT ? 1 : 0;
        }
        return completed;
    }

    /** Guards against a daemon that goes on with a stream at an engine of another version within one answer. */
    @Test
    void testStreamThatBreaksGoesOnAtItsVersionWithinOneAnswer() throws Exception {
        Edge edge = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        mode(StandinEndpoint.Mode.BREAKING);
        int resumed = 0;
        for (int stream = 0; stream < STREAMS; stream++) {
            String attempt = UUID.randomUUID().toString();
            stream(edge, "/again/x", attempt, Map.of());
            List<String> executions = executions(attempt);
            assertEquals(1, Set.copyOf(executions).size(), "versions that executed one stream: " + executions);
            resumed += executions.size() - 1;
        }
        assertTrue(resumed >= STREAMS / 2, resumed + " streams went on");
    }

    /** Returns the version of each engine that executed an attempt. */
    private List<String> executions(String attempt) {
        List<String> versions = new ArrayList<>();
        engines.forEach((version, list) -> list.forEach(engine -> engine.executedRequests().stream()
                .filter(headers -> attempt.equals(headers.get(Headers.ATTEMPT)))
                .forEach(headers -> versions.add(version))));
        return versions;
    }

    /** Guards against a daemon that does not know where a stream began which another daemon had sent. */
    @Test
    void testStreamGoesOnAtItsVersionAtAnotherDaemon() throws Exception {
        Edge first = daemons.start("front-1");
        Edge second = daemons.start("front-2");
        Thread.sleep(CONTACT_MILLIS);
        assertTrue(resumeAll(second, begin(first)) >= STREAMS / 2);
    }

    /** Guards against a daemon that starts after the stream had begun. */
    @Test
    void testStreamGoesOnAtItsVersionAtADaemonThatStartsLater() throws Exception {
        Edge first = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        Map<String, Map<Integer, String>> begun = begin(first);
        Edge second = daemons.start("front-2");
        Thread.sleep(CONTACT_MILLIS);
        assertTrue(resumeAll(second, begun) >= STREAMS / 2);
    }

    /** Guards against an origin that is forgotten with the route's timeout, while the caller still waits. */
    @Test
    void testStreamGoesOnAfterTheTimeoutOfItsRoute() throws Exception {
        Edge edge = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        mode(StandinEndpoint.Mode.BREAKING);
        String attempt = UUID.randomUUID().toString();
        Map<Integer, String> events = stream(edge, "/short/x", attempt, Map.of());
        mode(StandinEndpoint.Mode.GOOD);
        Thread.sleep(CONTACT_MILLIS);
        assertEquals(LAST_EVENT - events.size(), resume(edge, attempt, events).size());
    }

    /** Guards against a guess where no daemon knows the version, as the one that began the stream has ended. */
    @Test
    void testStreamOfUnknownVersionIsRefusedBeforeTwoVersions() throws Exception {
        Edge edge = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        HttpResponse<InputStream> response = daemons.stream(
                        edge,
                        "/once/x",
                        UUID.randomUUID().toString(),
                        Map.of(Headers.LAST_EVENT, "2", Headers.RESUMED_ATTEMPT, "unknown"))
                .get();
        assertEquals(503, response.statusCode(), new String(response.body().readAllBytes(), StandardCharsets.UTF_8));
    }

    /** Guards against a stream that goes on elsewhere once all engines of its version are leaving. */
    @Test
    void testStreamIsRefusedOnceNoEngineOfItsVersionIsLeft() throws Exception {
        Edge edge = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        Map<String, Map<Integer, String>> begun = begin(edge);
        leave("v1");
        resumeAll(edge, begun);
    }

    /** Guards against a daemon that starts when the version which began a stream has just gone, and takes another. */
    @Test
    void testDaemonThatHasJustStartedDoesNotGuessTheVersionOfAStream() throws Exception {
        Edge first = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        Map<String, Map<Integer, String>> begun = begin(first);
        leave("v1");
        first.close();
        resumeAll(daemons.start("front-2"), begun);
    }

    /**
     * Guards against streams joined from two versions after all daemons have started again, while the version that
     * began them is still listed, and when its engines are gone from the list.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void testStreamsAreNotJoinedAfterAllDaemonsHaveStartedAgain(boolean gone) throws Exception {
        Edge before = daemons.start("front-1");
        Thread.sleep(CONTACT_MILLIS);
        Map<String, Map<Integer, String>> begun = begin(before);
        before.close();
        if (gone) {
            store.put("keyed.servers", "servers/i-1", "");
            store.put("keyed.servers", "servers/i-2", "");
        }
        resumeAll(daemons.startAgain("front-1"), begun);
    }

    /**
     * Guards against a daemon out of step: it has begun no stream and hears of none, and the answer which it handles
     * last was sent before engines of another version were listed, where other daemons have begun streams since.
     */
    @Test
    void testDaemonOutOfStepDoesNotGoOnWithAStreamOfAVersionThatItHasNotRead() throws Exception {
        engines.get("v2").forEach(engine -> store.put("keyed.servers", "servers/" + engine.id(), ""));
        Edge edge = daemons.start("front-1");
        TestDaemons.await(() -> resume(edge, "unknown", Map.of(1, "v1")).size() == LAST_EVENT - 1);
        store.delayAnswers("keyed.servers", DELAY_MILLIS);
        TestDaemons.await(() -> store.delayedReads() > 1);
        engines.get("v2").forEach(engine -> engine.list(store, "llm", "decode", "ready"));
        Thread.sleep(SETTLING_MILLIS);
        for (int stream = 0; stream < STREAMS; stream++) {
            Map<Integer, String> events = resume(edge, "unknown-" + stream, Map.of(1, "v2"));
            assertTrue(events.isEmpty(), "a stream of v2 went on with " + events);
        }
    }

    /** Shows that a daemon which is in step finds the version of a stream of unknown origin by reading the list. */
    @Test
    void testStreamOfUnknownOriginGoesOnWhileTheListIsReadSeldom() throws Exception {
        engines.get("v2").forEach(engine -> store.put("keyed.servers", "servers/" + engine.id(), ""));
        Edge edge = daemons.start("front-1");
        TestDaemons.await(() -> resume(edge, "unknown", Map.of(1, "v1")).size() == LAST_EVENT - 1);
        for (int stream = 0; stream < STREAMS; stream++) {
            assertEquals(
                    LAST_EVENT - 1,
                    resume(edge, "unknown-" + stream, Map.of(1, "v1")).size());
        }
    }

    /** Shows that streams of unknown origin go on as long as all engines have the same version. */
    @Test
    void testStreamOfUnknownOriginGoesOnBeforeOneVersion() throws Exception {
        engines.get("v2").forEach(engine -> engine.version("v1"));
        engines.get("v2").forEach(engine -> engine.list(store, "llm", "decode", "ready"));
        Edge edge = daemons.start("front-1");
        TestDaemons.await(() -> resume(edge, "unknown", Map.of(1, "v1")).size() == LAST_EVENT - 1);
    }
}
