package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.adapter.DutyRecordCodec;
import org.ragwortpitch.adapter.UsageCodec;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.DutyCall;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.StoreCopy;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests daemons whose store loses records that it has acknowledged, or that they rely on.
 */
class StoreRestoreTest {

    /** How the store loses records. */
    private enum Loss {
        /** It comes back from a copy that is older than the latest reports. */
        RESTORED,
        /** Its log has expired, and the duties go to another daemon. */
        EXPIRED
    }

    private static final int MIN_REPORTS = 2;

    private static final long CALL_MILLIS = 60;

    private static final String DEPLOYMENT =
            """
            {"Version":%d,"Routes":[{"Name":"check","Host":"127.0.0.1","PathPrefix":"/%s/","Kind":"safe",
            "TimeoutMs":800,"TargetLatencyMs":100,"Service":"app","MaxAttempts":2}],
            "Services":[{"Name":"app","MaxConnections":100}],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":100000,"Burst":100000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint endpoint = closer.add(new StandinEndpoint("i-1"));

    @AfterEach
    void close() {
        closer.close();
    }

    private void deploy(int version, String path) {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(version, path));
    }

    private int status(Edge edge, String path) throws Exception {
        return daemons.look(edge, "/" + path + "/x").get().statusCode();
    }

    /** Returns the different figures that were reported of each usage window. */
    private Map<String, Set<String>> reports() {
        Map<String, Set<String>> reports = new TreeMap<>();
        store.duties().stream().filter(duty -> duty.startsWith("/usage")).forEach(duty -> reports.computeIfAbsent(
                        duty.replaceAll(".*\"Window\":(\\d+).*", "$1"), window -> new TreeSet<>())
                .add(duty.replaceAll(".*\"Counts\":(\\{[^}]*}).*", "$1")));
        return reports;
    }

    private void serveUntilReported(List<Edge> edges, int windows) throws Exception {
        TestDaemons.await(() -> {
            for (Edge edge : edges) {
                assertEquals(200, status(edge, "check"));
            }
            Thread.sleep(CALL_MILLIS);
            return reports().size() >= windows;
        });
    }

    /** Guards against a second report of a usage window, as the figures frozen for the first one are gone. */
    @ParameterizedTest
    @EnumSource(Loss.class)
    void testNextHolderReportsNoWindowWhoseFiguresAreLost(Loss loss) throws Exception {
        deploy(1, "check");
        endpoint.list(store, "app", "", "ready");
        List<Edge> edges = List.of(daemons.start("front-1"), daemons.start("front-2"));
        StoreCopy copy = store.copy();
        serveUntilReported(edges, MIN_REPORTS);
        Set<String> before = Set.copyOf(reports().keySet());
        if (loss == Loss.RESTORED) {
            store.restore(copy, () -> {});
        } else {
            store.handOverDuties();
            store.expire(UsageCodec.TOPIC);
        }
        serveUntilReported(edges, before.size() + MIN_REPORTS);
        reports().forEach((window, figures) -> assertEquals(1, figures.size(), "window " + window + ": " + figures));
    }

    /** Guards against two holders of the duties with one fencing token, as the group's generations are given anew. */
    @Test
    void testHoldersBeforeAndAfterARestoreHaveDifferentFencingTokens() throws Exception {
        deploy(1, "check");
        endpoint.list(store, "app", "", "ready");
        StoreCopy copy = store.copy();
        List<Edge> edges = List.of(daemons.start("front-1"), daemons.start("front-2"));
        serveUntilReported(edges, 1);
        int before = store.dutyCalls().size();
        store.restore(copy, () -> {});
        serveUntilReported(edges, MIN_REPORTS + 1);
        Map<String, String> holders = new HashMap<>();
        long highest = 0;
        for (DutyCall call : store.dutyCalls()) {
            String holder = holders.putIfAbsent(call.token(), call.holder());
            assertTrue(holder == null || holder.equals(call.holder()), "two holders with one token: " + call);
            assertTrue(Long.parseLong(call.token()) >= highest, "the token of a later holder is lower: " + call);
            highest = Long.parseLong(call.token());
        }
        assertTrue(store.dutyCalls().size() > before && holders.size() > 1, "another holder acted after the restore");
    }

    /** Guards against usage that is never reported, as a record of an earlier holder can't be read. */
    @ParameterizedTest
    @ValueSource(strings = {DutyRecordCodec.REPORT_MARK_KEY, DutyRecordCodec.FIRST_ERA_KEY})
    void testUnreadableRecordOfAnEarlierHolderIsReplaced(String key) throws Exception {
        store.put(DutyRecordCodec.TOPIC, key, "{\"era\":\"odd\"");
        deploy(1, "check");
        endpoint.list(store, "app", "", "ready");
        serveUntilReported(List.of(daemons.start("front-1")), 1);
    }

    /** Guards against a daemon that others don't hear of, as the store has lost its entry. */
    @Test
    void testDaemonIsListedAgainAfterARestore() throws Exception {
        deploy(1, "check");
        endpoint.list(store, "app", "", "ready");
        StoreCopy copy = store.copy();
        Edge first = daemons.start("front-1");
        store.restore(copy, () -> {});
        Edge second = daemons.start("front-2");
        TestDaemons.await(() -> daemons.resolve(second) == 2 && daemons.resolve(first) == 2);
    }

    /** Guards against records that are never read, as they have got offsets that were read before the restore. */
    @Test
    void testRecordsAtOffsetsGivenOutAgainAreRead() throws Exception {
        deploy(1, "check");
        StoreCopy copy = store.copy();
        endpoint.list(store, "app", "", "ready");
        StandinEndpoint second = closer.add(new StandinEndpoint("i-2"));
        Edge edge = daemons.start("front-1");
        assertEquals(200, status(edge, "check"));
        store.restore(copy, () -> second.list(store, "app", "", "ready"));
        endpoint.list(store, "app", "", "draining");
        TestDaemons.await(() -> daemons.look(edge, "/check/x").get().body().equals("done by i-2"));
    }
}
