package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.GossipListener;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Guards against a daemon that stops following the store, or stops telling other daemons, because another writer has
 * left an entry there that no sound endpoint or daemon writes.
 */
class OddEntriesTest {

    private static final String ENDPOINTS = "keyed.servers";

    private static final String DAEMONS = "keyed.daemons";

    private static final int REQUESTS = 4;

    private static final String DEPLOYMENT =
            """
            {"Version":VERSION,"Routes":[
            {"Name":"check","Host":"127.0.0.1","PathPrefix":"/PATH/","Kind":"safe","TimeoutMs":600,
            "TargetLatencyMs":121,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":1000000,"Burst":1000000,"PlainTokens":1}]}
            """;

    private static final String SOUND =
            """
            {"Service":"app","Address":"127.0.0.9:80","Zone":"a","Slots":6,"State":"ready","born":1}""";

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint first = closer.add(new StandinEndpoint("a-1"));
    private final StandinEndpoint second = closer.add(new StandinEndpoint("a-2"));
    private final Warnings warnings = new Warnings();

    /** An entry: its key and value. */
    private record Entry(String key, String value) {}

    @BeforeEach
    void deploy() {
        Logger.getLogger("").addHandler(warnings);
        store.put("keyed.op", "config", deployment(1, "check"));
        first.list(store, "app", "", "ready");
    }

    @AfterEach
    void close() {
        Logger.getLogger("").removeHandler(warnings);
        closer.close();
    }

    private static String deployment(int version, String path) {
        return DEPLOYMENT.replace("VERSION", String.valueOf(version)).replace("PATH", path);
    }

    private static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    private static List<Entry> oddEndpoints() {
        return List.of(
                new Entry("servers/nested", SOUND.replace("\"born\":1", "\"born\":1,\"more\":" + nested(100_000))),
                new Entry("servers/nested-number", SOUND.replace(":6", ":" + nested(500))),
                new Entry("servers/huge", SOUND.replace(":6", ":1e400")),
                new Entry("servers/digits", SOUND.replace(":6", ":" + "9".repeat(900))),
                new Entry("servers/wraps", SOUND.replace(":6", ":4294967297")),
                new Entry("servers/negative", SOUND.replace(":6", ":-4")),
                new Entry("servers/part", SOUND.replace(":6", ":0.5")),
                new Entry("servers/born", SOUND.replace("\"born\":1", "\"born\":1e300")),
                new Entry("servers/port", SOUND.replace(":80", ":70000")),
                new Entry("servers/port-99999", SOUND.replace(":80", ":99999")),
                new Entry("servers/port-0", SOUND.replace(":80", ":0")),
                new Entry("servers/octet", SOUND.replace("127.0.0.9", "127.0.0.999")),
                new Entry("servers/text", SOUND.replace(":6", ":\"six\"")),
                new Entry("servers/cut", SOUND.substring(0, 40)),
                new Entry("servers/bytes", "\u0000\u0001\u00ff"),
                new Entry("servers/", SOUND),
                new Entry("", SOUND));
    }

    private static Stream<Arguments> oddEndpointsAtBothTimes() {
        return oddEndpoints().stream()
                .flatMap(entry -> Stream.of(
                        Arguments.of(entry.key(), entry.value(), true),
                        Arguments.of(entry.key(), entry.value(), false)));
    }

    private void serveAll(Edge edge, String path) throws Exception {
        for (int request = 0; request < REQUESTS; request++) {
            assertEquals(
                    200, daemons.ask(edge, path, Optional.empty()).get().statusCode(), "status of request " + request);
        }
    }

    @ParameterizedTest(name = "{0}, present at the start: {2}")
    @MethodSource("oddEndpointsAtBothTimes")
    void testSoundEndpointsAreFollowedBesideAnOddEntry(String key, String value, boolean atStart) throws Exception {
        if (atStart) {
            store.put(ENDPOINTS, key, value);
        }
        Edge edge = daemons.start("front-1");
        if (!atStart) {
            store.put(ENDPOINTS, key, value);
        }
        serveAll(edge, "/check/x");
        // Its writer renews the entry, and another sound endpoint replaces the first.
        store.put(ENDPOINTS, key, value);
        second.list(store, "app", "", "ready");
        store.put(ENDPOINTS, "servers/a-1", "");
        TestDaemons.await(() -> {
            serveAll(edge, "/check/x");
            return !second.executedRequests().isEmpty();
        });
        List<String> ofEntry = warnings.lines("event=endpoint-unreadable", "event=topic-unreadable");
        assertEquals(1, ofEntry.size(), "warnings: " + ofEntry);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"born\":1,\"domain\":\"a\",\"front\":\"127.0.0.1:80\",\"peer\":\"127.0.0.1:99999\"}",
                "{\"born\":1,\"domain\":\"a\",\"front\":\"127.0.0.1:80\",\"peer\":\"127.0.0.1\"}",
                "{\"born\":1,\"domain\":\"a\",\"front\":\"127.0.0.1:70000\",\"peer\":\"127.0.0.1:81\"}",
                "{\"born\":1e400,\"domain\":\"a\",\"front\":\"127.0.0.1:80\",\"peer\":\"127.0.0.1:81\"}",
            })
    void testDaemonsGossipBesideAnOddEntry(String value) throws Exception {
        store.put(DAEMONS, "front-odd", value);
        Edge edge = daemons.start("front-1");
        GossipListener listener = closer.add(new GossipListener());
        listener.list(store, "front-2");
        TestDaemons.await(() -> listener.received() > 2);
        serveAll(edge, "/check/x");
        List<String> ofEntry = warnings.lines("event=daemon-unreadable");
        assertEquals(1, ofEntry.size(), "warnings: " + ofEntry);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"Version\":1e400}",
                "{\"Version\":4,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/\",\"Kind\":\"safe\","
                        + "\"TimeoutMs\":4294967297,\"Service\":\"app\"}]}",
                "{\"Version\":4,\"Routes\":[],\"Services\":[],\"Tenants\":[{\"Name\":\"t\",\"RatePerS\":1e400}]}",
                "{\"Version\":",
                "NESTED"
            })
    void testNextConfigurationIsFollowedAfterAnOddOne(String odd) throws Exception {
        Edge edge = daemons.start("front-1");
        store.put("keyed.op", "config", odd.replace("NESTED", "{\"Version\":9,\"Routes\":" + nested(100_000) + "}"));
        serveAll(edge, "/check/x");
        store.put("keyed.op", "config", deployment(5, "book"));
        TestDaemons.await(
                () -> daemons.ask(edge, "/book/x", Optional.empty()).get().statusCode() == 200);
        assertTrue(!warnings.lines("event=deployment-unreadable").isEmpty(), "the odd version is reported");
    }

    /** Collects the warnings that daemons log. */
    private static final class Warnings extends Handler {

        private final List<String> lines = new CopyOnWriteArrayList<>();

        List<String> lines(String... events) {
            return lines.stream()
                    .filter(line -> Stream.of(events).anyMatch(line::startsWith))
                    .toList();
        }

        @Override
        public void publish(LogRecord entry) {
            lines.add(String.valueOf(entry.getMessage()));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
