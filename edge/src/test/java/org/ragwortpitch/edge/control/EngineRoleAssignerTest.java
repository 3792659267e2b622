package org.ragwortpitch.edge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.edge.standin.ScriptedPeer;
import org.ragwortpitch.edge.standin.TestDaemons;
import org.ragwortpitch.edge.standin.TestEventLoop;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

class EngineRoleAssignerTest {

    private static final PoolId POOL = new PoolId("llm");

    private static final String REPORT = "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"Sequence\":0,\"Busy\":false}";

    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    private final TestEventLoop loops = new TestEventLoop();

    @AfterEach
    void close() {
        loops.close();
    }

    private static Endpoint engine(String address) {
        return new Endpoint(
                new EndpointId("i-1"),
                POOL,
                address,
                new FailureDomain("a"),
                64,
                false,
                EndpointRole.PREFILL,
                1,
                true,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
    }

    /** Guards against the copy of an engine's report, on a kept connection, that passes for the answer to an order. */
    @Test
    void testReportAndOrderUseNewConnections() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer(REPORT, ACCEPTED)) {
            ConnectionPool pool = new ConnectionPool(loops.loop(), 500, TestEventLoop.CLOCK_MILLIS);
            BufferingHttpCaller caller = new BufferingHttpCaller(loops.loop(), pool);
            EngineRoleAssigner assigner =
                    new EngineRoleAssigner(caller, new InstanceId("front-1"), TestEventLoop.CLOCK_MILLIS);
            EngineSpec spec = new EngineSpec(64, 500_000, 1, 1, 1, 60_000);
            loops.loop().execute(() -> assigner.step(1, POOL, spec, List.of(engine(peer.address())), Set.of(), 1));
            TestDaemons.await(() -> peer.requests().size() == 2);
            assertTrue(peer.requests().get(0).startsWith("GET /report"));
            assertTrue(peer.requests().get(1).startsWith("POST /order"));
            assertEquals(2, peer.connections());
        }
    }
}
