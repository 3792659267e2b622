package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.ColdStart;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.evacuation.StorePosition;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;

class EvacuatedDomainsTest {

    private static final FailureDomain DOMAIN = new FailureDomain("a");

    private static final long CANCELLED_MILLIS = 5_000;

    private final EndpointTable table = new EndpointTable(
            new EndpointPermits(new InstanceId("front-1"), Optional::empty, () -> 0), true, address -> {});

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
        assertEquals(0, table.coldUntilMillis(DOMAIN));
        report(9, false, CANCELLED_MILLIS);
        report(9, false, CANCELLED_MILLIS + 1);
        table.apply(List.of(), deployment(coldMillis), CANCELLED_MILLIS + 2);
        assertEquals(untilMillis, table.coldUntilMillis(DOMAIN));
    }
}
