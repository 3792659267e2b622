package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.ColdStart;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.evacuation.StorePosition;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

class EvacuatedDomainsTest {

    private static final FailureDomain DOMAIN = new FailureDomain("a");

    private static final long CANCELLED_MILLIS = 5_000;

    private static final Endpoint ENDPOINT = new Endpoint(
            new EndpointId("i-1"),
            new PoolId("llm"),
            "127.0.0.1:1",
            DOMAIN,
            1,
            false,
            EndpointRole.MIXED,
            1,
            false,
            OptionalLong.empty(),
            SoftwareVersion.UNSTATED);

    private final EndpointTable table = new EndpointTable(
            new EndpointPacing(
                    new EndpointPermits(new InstanceId("front-1"), Optional::empty, () -> 0), new EdgeMetrics()),
            true,
            address -> {});

    private static Deployment deployment(long coldMillis) {
        Optional<ColdStart> cold = coldMillis == 0 ? Optional.empty() : Optional.of(new ColdStart(coldMillis, 7.3));
        Pool pool = new Pool(new PoolId("llm"), 10, Optional.empty(), Optional.empty(), cold);
        return new Deployment(1, List.of(), List.of(pool), List.of(), Map.of(), CallerLimits.DEFAULT);
    }

    private void report(long offset, boolean active, long nowMillis) {
        EvacuationOrder order = new EvacuationOrder(DOMAIN, new StorePosition(1, offset), active);
        table.apply(Evacuations.NONE.with(order), "peer", nowMillis);
    }

    /** Guards against a burst on endpoints that became cold during an evacuation, whatever is read or heard first. */
    @ParameterizedTest
    @CsvSource({"12000, true, 17000", "12000, false, 17000", "0, true, 0"})
    void testDomainCountsAsColdAfterItsEvacuationIsCancelled(
            long coldMillis, boolean configuredFirst, long untilMillis) {
        if (configuredFirst) {
            table.apply(List.of(), deployment(coldMillis), 0);
        }
        report(3, true, 1_000);
        assertFalse(table.isCold(ENDPOINT, 1_000));
        report(9, false, CANCELLED_MILLIS);
        report(9, false, CANCELLED_MILLIS + 1);
        table.apply(List.of(), deployment(coldMillis), CANCELLED_MILLIS + 2);
        assertEquals(untilMillis > 0, table.isCold(ENDPOINT, untilMillis - 1));
        assertFalse(table.isCold(ENDPOINT, untilMillis));
    }
}
