package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.overflow.RequestDomains;
import org.ragwortpitch.placement.EngineChooser;

/**
 * Tests that overflow chooses among the endpoints that the table offers.
 */
class EngineSelectorTest {

    private static final PoolId POOL = new PoolId("llm");

    private static final FailureDomain HERE = new FailureDomain("here");

    private static final FailureDomain THERE = new FailureDomain("there");

    private static final Generation PROMPT = new Generation(4_000, 100, List.of());

    private static final long NOW_MILLIS = 100_000;

    private static final int FIRST_PORT = 8_000;

    /** Guards against a preference that is not applied, and against one that goes before home regions. */
    @ParameterizedTest
    @CsvSource({"false, true, here", "true, true, there", "true, false, here"})
    void testOverflowChoosesAmongTheEndpointsOffered(boolean selected, boolean allowed, String domain) {
        EndpointPermits permits = new EndpointPermits(new InstanceId("d"), Optional::empty, () -> NOW_MILLIS);
        EndpointTable table = new EndpointTable(new EndpointPacing(permits, new EdgeMetrics()), true, address -> {});
        table.apply(engines(), deployment(), NOW_MILLIS);
        // The decode engines are busy, so that they prefill no prompt themselves.
        List.of(HERE, THERE)
                .forEach(place ->
                        table.find(new EndpointId("DECODE-" + place)).engine().requestStarted(0, 200_000));
        // 18,400 tokens of queue leave too little margin for a selected request to stay, and enough for others.
        table.find(new EndpointId("PREFILL-here")).engine().requestStarted(0, 18_400);
        RequestDomains preferred = new RequestDomains(true, selected ? Optional.of(THERE) : Optional.empty(), Set.of());
        EngineSelector selector = new EngineSelector(
                table,
                new EngineChooser(HERE),
                POOL,
                PROMPT,
                1_000,
                Homes.ANY,
                place -> allowed || place.equals(HERE),
                preferred);
        Endpoint prefill = selector.place(Optional.empty(), Set.of(), NOW_MILLIS)
                .orElseThrow()
                .prefillEngine()
                .orElseThrow()
                .endpoint();
        assertEquals(domain, prefill.domain().value());
    }

    private static Deployment deployment() {
        EngineSpec spec = new EngineSpec(64, 500_000, 163_840, 1_700_000, 5_000, 3_000);
        return new Deployment(
                1,
                List.of(),
                List.of(new Pool(POOL, 10, Optional.of(spec), Optional.empty())),
                List.of(),
                Map.of(),
                CallerLimits.DEFAULT);
    }

    private static List<Endpoint> engines() {
        List<Endpoint> engines = new ArrayList<>();
        for (FailureDomain domain : List.of(HERE, THERE)) {
            for (EndpointRole role : List.of(EndpointRole.DECODE, EndpointRole.PREFILL)) {
                engines.add(new Endpoint(
                        new EndpointId(role + "-" + domain),
                        POOL,
                        "10.0.0.1:" + (FIRST_PORT + engines.size()),
                        domain,
                        64,
                        false,
                        role,
                        1,
                        false,
                        OptionalLong.empty(),
                        SoftwareVersion.UNSTATED));
            }
        }
        return engines;
    }
}
