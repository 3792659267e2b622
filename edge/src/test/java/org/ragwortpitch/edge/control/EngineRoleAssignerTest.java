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

    private static Endpoint engine(String address, String domain) {
        return new Endpoint(
                new EndpointId("i-" + domain),
                POOL,
                address,
                new FailureDomain(domain),
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
            List<Endpoint> engines = List.of(engine(peer.address(), "a"));
            loops.loop().execute(() -> assigner.step(1, POOL, spec, engines, Set.of(), Set.of(), 1));
            TestDaemons.await(() -> peer.requests().size() == 2);
            assertTrue(peer.requests().get(0).startsWith("GET /report"));
            assertTrue(peer.requests().get(1).startsWith("POST /order"));
            assertEquals(2, peer.connections());
        }
    }

    /** Guards against calls to engines of an evacuated domain, and against a pool whose only decode engine is there. */
    @Test
    void testEnginesOfAnEvacuatedDomainGetNoOrdersAndCountForNoRole() throws Exception {
        try (ScriptedPeer evacuated = new ScriptedPeer(REPORT, ACCEPTED);
                ScriptedPeer serving = new ScriptedPeer(REPORT, ACCEPTED)) {
            ConnectionPool pool = new ConnectionPool(loops.loop(), 500, TestEventLoop.CLOCK_MILLIS);
            EngineRoleAssigner assigner = new EngineRoleAssigner(
                    new BufferingHttpCaller(loops.loop(), pool), new InstanceId("front-1"), TestEventLoop.CLOCK_MILLIS);
            EngineSpec spec = new EngineSpec(64, 500_000, 1, 1, 1, 60_000);
            List<Endpoint> engines = List.of(engine(evacuated.address(), "a"), engine(serving.address(), "b"));
            Set<FailureDomain> domains = Set.of(new FailureDomain("a"));
            loops.loop().execute(() -> assigner.step(1, POOL, spec, engines, Set.of(), domains, 1));
            TestDaemons.await(() -> serving.requests().size() == 2);
            assertEquals(0, evacuated.connections());
        }
    }
}
