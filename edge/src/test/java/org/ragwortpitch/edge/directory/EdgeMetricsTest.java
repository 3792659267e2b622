package org.ragwortpitch.edge.directory;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.overflow.DomainShares;

/**
 * Tests the metrics of traffic between failure domains.
 */
class EdgeMetricsTest {

    private static final FailureDomain A = new FailureDomain("a");

    private static final FailureDomain B = new FailureDomain("b");

    private final EdgeMetrics metrics = new EdgeMetrics();

    private String scrape() {
        return new String(metrics.scrape(speeds -> {}), StandardCharsets.UTF_8);
    }

    /** Guards against a share that is reported after its end. */
    @Test
    void testOverflowShareReturnsToZero() {
        PoolId pool = new PoolId("llm");
        metrics.setOverflow(pool, new DomainShares(true, Map.of(B, 0.25), Set.of()));
        assertTrue(scrape().contains("ragwortpitch_overflow_share{pool=\"llm\",target=\"b\"} 0.25"));
        metrics.setOverflow(pool, DomainShares.NONE);
        assertTrue(scrape().contains("ragwortpitch_overflow_share{pool=\"llm\",target=\"b\"} 0.0"));
    }

    /** Guards against traffic within a domain that is reported as paid. */
    @Test
    void testBytesAreCountedBetweenDomainsOnly() {
        metrics.recordDomainTraffic(A, A, 7);
        assertFalse(scrape().contains("ragwortpitch_domain_traffic_bytes_total{"));
        metrics.recordDomainTraffic(A, B, 7);
        metrics.recordDomainTraffic(A, B, 3);
        assertTrue(scrape().contains("ragwortpitch_domain_traffic_bytes_total{from=\"a\",to=\"b\"} 10.0"));
    }
}
