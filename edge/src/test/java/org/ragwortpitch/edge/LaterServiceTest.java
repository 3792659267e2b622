package org.ragwortpitch.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.closing.Closer;
import org.ragwortpitch.edge.standin.StandinEndpoint;
import org.ragwortpitch.edge.standin.StandinStore;
import org.ragwortpitch.edge.standin.TestDaemons;

/**
 * Tests services that a later version of the configuration adds or changes, whose endpoints are listed before it.
 */
class LaterServiceTest {

    private static final String WHOLE_STREAM =
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n";

    private static final String ENGINE =
            ",\"Engine\":{\"Slots\":%d,\"KvCapacityTokens\":500000,\"KvTokenBytes\":1,\"LinkMbps\":1000}";

    private static final String LATER =
            """
            ,{"Name":"ask","Host":"127.0.0.1","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":4000,
            "TargetLatencyMs":500,"Service":"llm","MaxAttempts":2,"AllowResume":true,"TargetGapMs":150}""";

    private static final String DEPLOYMENT =
            """
            {"Version":%d,"Routes":[{"Name":"check","Host":"127.0.0.1","PathPrefix":"/check/","Kind":"safe",
            "TimeoutMs":800,"TargetLatencyMs":100,"Service":"app","MaxAttempts":2}%s],
            "Services":[{"Name":"app","MaxConnections":100}%s],
            "Tenants":[{"Name":"families","ApiKeys":["key"],"RatePerS":100000,"Burst":100000,"PlainTokens":1}]}
            """;

    private final Closer closer = new Closer();
    private final StandinStore store = closer.add(new StandinStore());
    private final TestDaemons daemons = closer.add(new TestDaemons(store));
    private final StandinEndpoint service = closer.add(new StandinEndpoint("a-1"));
    private final StandinEndpoint engine = closer.add(new StandinEndpoint("e-1"));

    @AfterEach
    void close() {
        closer.close();
    }

    private void deploy(int version, String laterRoute, String laterService) {
        store.put("keyed.op", "config", DEPLOYMENT.formatted(version, laterRoute, laterService));
    }

    private static String llm(int slots) {
        return ",{\"Name\":\"llm\",\"MaxConnections\":100" + (slots == 0 ? "" : ENGINE.formatted(slots)) + "}";
    }

    private Edge start() throws Exception {
        service.list(store, "app", "", "ready");
        engine.list(store, "llm", "decode", "ready");
        Edge edge = daemons.start("front-1");
        TestDaemons.await(() -> daemons.look(edge, "/check/x").get().statusCode() == 200);
        return edge;
    }

    private String ask(Edge edge) throws Exception {
        return daemons.ask(edge, "/ask/x", Optional.of("a1:1000")).get().body();
    }

    private int added(Edge edge) throws Exception {
        return daemons.look(edge, "/ask/x").get().statusCode();
    }

    /** Guards against engines that are never sent anything, as they were listed before their service was configured. */
    @Test
    void testServiceThatIsAddedAfterItsEnginesIsServed() throws Exception {
        deploy(1, "", "");
        Edge edge = start();
        deploy(2, LATER, llm(64));
        TestDaemons.await(() -> added(edge) != 404);
        assertEquals(WHOLE_STREAM, ask(edge));
    }

    /** Guards against engines that go on with what an earlier version of the configuration said of their service. */
    @ParameterizedTest
    @ValueSource(ints = {0, 32})
    void testServiceThatChangesIsServed(int slotsBefore) throws Exception {
        deploy(1, "", llm(slotsBefore));
        Edge edge = start();
        deploy(2, LATER, llm(64));
        TestDaemons.await(() -> added(edge) != 404);
        assertEquals(WHOLE_STREAM, ask(edge));
        deploy(3, LATER, llm(0));
        TestDaemons.await(() -> ask(edge).equals(WHOLE_STREAM));
    }
}
