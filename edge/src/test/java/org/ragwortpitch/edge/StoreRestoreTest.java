package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests daemons whose store loses records that it has acknowledged, or that they rely on.
 */
class StoreRestoreTest {

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

    /** Guards against a daemon that others don't hear of, as the store has lost its entry. */
    @Test
    void testDaemonIsListedAgainAfterARestore() throws Exception {
        deploy(1, "check");
        endpoint.list(store, "app", "", "ready");
        StandinStore.Copy copy = store.copy();
        Edge first = daemons.start("front-1");
        store.restore(copy, () -> {});
        Edge second = daemons.start("front-2");
        TestDaemons.await(() -> daemons.resolve(second) == 2 && daemons.resolve(first) == 2);
    }

    /** Guards against records that are never read, as they have got offsets that were read before the restore. */
    @Test
    void testRecordsAtOffsetsGivenOutAgainAreRead() throws Exception {
        deploy(1, "check");
        StandinStore.Copy copy = store.copy();
        endpoint.list(store, "app", "", "ready");
        StandinEndpoint second = closer.add(new StandinEndpoint("i-2"));
        Edge edge = daemons.start("front-1");
        assertEquals(200, status(edge, "check"));
        store.restore(copy, () -> second.list(store, "app", "", "ready"));
        endpoint.list(store, "app", "", "draining");
        TestDaemons.await(() -> daemons.look(edge, "/check/x").get().body().equals("done by i-2"));
    }
}
