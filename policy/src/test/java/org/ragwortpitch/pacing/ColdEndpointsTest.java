package org.ragwortpitch.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

class ColdEndpointsTest {

    private static final FailureDomain DOMAIN = new FailureDomain("a");

    private final ColdEndpoints cold = new ColdEndpoints();

    private static Endpoint endpoint(long startMillis) {
        return new Endpoint(
                new EndpointId("i-1"),
                new PoolId("app"),
                "10.0.0.1:80",
                DOMAIN,
                8,
                false,
                EndpointRole.MIXED,
                startMillis,
                false,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED);
    }

    /** Guards against sources that overrule each other: what is stated later, and ends earlier, doesn't count. */
    @ParameterizedTest
    @CsvSource({"5000, 1000, 5000", "1000, 5000, 5000", "5000, 5100, 5000", "-1, 0, 0", "900000000, 1, 3600000"})
    void testLatestEndHoldsBeyondATolerance(long firstMillis, long secondMillis, long expectedMillis) {
        EndpointIncarnation incarnation = endpoint(1).incarnation();
        cold.record(incarnation, firstMillis, 10);
        cold.record(incarnation, secondMillis, 10);
        long expected = expectedMillis == 0 ? 0 : expectedMillis + ColdEndpoints.TOLERANCE_MILLIS;
        assertEquals(expected, cold.remainingMillis(endpoint(1), 10));
        assertEquals(0, cold.remainingMillis(endpoint(2), 10), "another incarnation");
        assertEquals(
                expectedMillis == 0 ? Map.of() : Map.of(incarnation, expectedMillis),
                cold.changedSince(Long.MIN_VALUE, 10));
        assertEquals(Map.of(), cold.changedSince(11, 12));
    }

    /** Guards against a cold time that never ends, as daemons pass it on to each other with some delay. */
    @ParameterizedTest
    @ValueSource(longs = {1, 20, 100})
    void testRepetitionByOtherDaemonsDoesNotMoveTheEnd(long transitMillis) {
        ColdEndpoints other = new ColdEndpoints();
        cold.record(endpoint(1).incarnation(), 3_000, 0);
        for (long now = 0; now < 10_000; now += 200) {
            long sentMillis = now;
            long heardMillis = now + transitMillis;
            cold.changedSince(Long.MIN_VALUE, sentMillis)
                    .forEach((endpoint, millis) -> other.record(endpoint, millis, heardMillis));
            other.changedSince(Long.MIN_VALUE, heardMillis)
                    .forEach((endpoint, millis) -> cold.record(endpoint, millis, heardMillis + transitMillis));
        }
        assertEquals(0, cold.remainingMillis(endpoint(1), 3_000 + ColdEndpoints.TOLERANCE_MILLIS));
        assertEquals(0, other.remainingMillis(endpoint(1), 3_500));
    }

    /** Guards against a whole fleet taken for cold after a daemon's start, or after an outage of the store. */
    @Test
    void testOnlyIncarnationsThatStartAfterTheFirstListingAreNew() {
        List<EndpointIncarnation> first = List.of(endpoint(1).incarnation());
        List<EndpointIncarnation> second = List.of(endpoint(2).incarnation());
        assertEquals(Set.of(), cold.recordListed(first, 0));
        assertEquals(Set.of(), cold.recordListed(List.of(), 1_000));
        assertEquals(Set.of(), cold.recordListed(first, 2_000));
        assertEquals(Set.copyOf(second), cold.recordListed(second, 3_000));
        assertEquals(Set.of(), cold.recordListed(second, 4_000));
        cold.recordListed(second, 3_000 + ColdEndpoints.RETENTION_MILLIS);
        assertEquals(Set.copyOf(first), cold.recordListed(first, 4_000 + ColdEndpoints.RETENTION_MILLIS));
    }

    /** Guards against endpoints that were listed after the evacuation of their domain was cancelled. */
    @Test
    void testDomainIsColdUntilTheLatestEnd() {
        cold.recordDomain(DOMAIN, 5_000);
        cold.recordDomain(DOMAIN, 4_000);
        assertEquals(2_000, cold.remainingMillis(endpoint(7), 3_000));
        assertFalse(cold.remainingMillis(endpoint(7), 5_000) > 0);
    }
}
