package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.CallFailure;
import org.ragwortpitch.edge.http.ConnectionPool;
import org.ragwortpitch.edge.http.OutboundRequest;
import org.ragwortpitch.edge.standin.TestEventLoop;
import org.ragwortpitch.homes.Regions;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.placement.EngineSpeed;
import org.ragwortpitch.placement.QueueWatch;
import org.ragwortpitch.wire.generated.GossipProtocol;

/**
 * Tests which prefills give a sample of an engine's speed, and how samples of many engines are told.
 */
class EngineSpeedSamplesTest {

    private static final PoolId POOL = new PoolId("llm");

    private final TestEventLoop loop = new TestEventLoop();
    private long nowMillis = 1_000;

    @AfterEach
    void close() {
        loop.close();
    }

    private EndpointTable table(int engines) {
        EndpointTable table = new EndpointTable(
                new EndpointPacing(
                        new EndpointPermits(new InstanceId("self"), Optional::empty, () -> nowMillis),
                        new EdgeMetrics()),
                true,
                address -> {});
        Deployment deployment = new Deployment(
                1,
                List.of(),
                List.of(new Pool(POOL, 10, Optional.of(new EngineSpec(64, 500_000, 1, 1, 1, 1)), Optional.empty())),
                List.of(),
                Map.of(),
                CallerLimits.DEFAULT);
        List<Endpoint> listed = IntStream.range(0, engines)
                .mapToObj(index -> new Endpoint(
                        new EndpointId("i-15b1af66" + index),
                        POOL,
                        "127.0.0.1:1",
                        new FailureDomain("a"),
                        64,
                        false,
                        EndpointRole.PREFILL,
                        1_790_000_000_000L,
                        false,
                        OptionalLong.empty(),
                        SoftwareVersion.UNSTATED))
                .toList();
        table.apply(listed, deployment, nowMillis);
        return table;
    }

    private TrafficContext context(EndpointTable table) {
        return new TrafficContext(
                loop.loop(),
                () -> nowMillis,
                () -> nowMillis,
                new FailureDomain("a"),
                new Regions(Map.of()),
                new ConnectionPool(loop.loop(), 100, () -> nowMillis),
                table,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                () -> {},
                null);
    }

    /** Guards against the time until a crash or a refusal that is taken for the time of a prefill. */
    @ParameterizedTest
    @CsvSource({
        "200, '{\"CacheHandle\":\"h\"}', true",
        "200, 'no handle', false",
        "421, '', false",
        "500, '{\"CacheHandle\":\"h\"}', false",
        "0, '', false"
    })
    void testOnlyCompletedPrefillsAreSamples(int status, String body, boolean sampled) throws Exception {
        EndpointTable table = table(1);
        EndpointState state = table.find(new EndpointId("i-15b1af660"));
        RemotePrefill prefill = new RemotePrefill(state, 12_000, 3_000, handle -> {}, failure -> {});
        loop.loop()
                .submit(() -> {
                    prefill.start(
                            context(table),
                            new OutboundRequest("POST", "/", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, "x"));
                    nowMillis += 600;
                    if (status == 0) {
                        prefill.onFailure(CallFailure.sent("connection reset"));
                    } else {
                        prefill.onHead(status, new DefaultHttpHeaders());
                        prefill.onContent(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
                        prefill.onEnd(true);
                    }
                })
                .sync();
        assertEquals(sampled, state.engine().ownSpeedReport(nowMillis).isPresent());
        assertEquals(sampled, state.engine().speed().prefillTimeRelativeTo(EngineSpeed.NOMINAL) > 1.2);
    }

    /** Guards against figures of an earlier incarnation, and against figures that are no speeds. */
    @ParameterizedTest
    @CsvSource({"2, 10, 5, 0", "1, -10, 5, 0", "1, NaN, 5, 0", "1, 10, 0, 0", "1, 10, 5, 700000", "1, 10, 5, -1"})
    void testReportedSpeedIsCheckedBeforeItIsUsed(int born, double rate, int samples, long ageMillis) {
        EndpointTable table = table(1);
        EndpointState state = table.find(new EndpointId("i-15b1af660"));
        EngineSpeedCodec.learn(
                table,
                new InstanceId("odd"),
                List.of(GossipProtocol.EngineSpeed.newBuilder()
                        .setEndpoint(state.endpoint().id().value())
                        .setBornMillis(born == 1 ? state.endpoint().startMillis() : born)
                        .setAgeMillis(ageMillis)
                        .setPrefillTokensPerMilli(rate)
                        .setSamples(samples)
                        .build()),
                nowMillis);
        table.refreshSpeeds(nowMillis);
        boolean used = ageMillis < 0;
        assertEquals(used, !state.engine().speed().equals(EngineSpeed.NOMINAL));
    }

    /** Guards against datagrams that grow with the fleet, and against engines that are then never told. */
    @Test
    void testAllEnginesAreToldInSmallDatagrams() {
        EndpointTable table = table(90);
        for (EndpointState state : table.all()) {
            QueueWatch queue = state.engine().watchQueue();
            queue.end();
            table.speeds().recordPrefill(queue, 3_000, 12_000, 150, nowMillis);
            table.speeds().recordPauses(state.engine(), 40, nowMillis);
        }
        Set<String> told = new HashSet<>();
        for (int round = 0; round < 3; round++) {
            List<GossipProtocol.EngineSpeed> messages = EngineSpeedCodec.encode(
                    table, engine -> engine.ownSpeedReport(nowMillis), Long.MIN_VALUE, round, nowMillis);
            int bytes = messages.stream()
                    .mapToInt(GossipProtocol.EngineSpeed::getSerializedSize)
                    .sum();
            assertTrue(bytes < 2_500, bytes + " bytes");
            messages.forEach(message -> told.add(message.getEndpoint()));
        }
        assertEquals(90, told.size());
        assertTrue(
                EngineSpeedCodec.encode(table, engine -> engine.ownSpeedReport(nowMillis), nowMillis + 1, 0, nowMillis)
                        .isEmpty(),
                "engines without new samples are left out");
    }
}
