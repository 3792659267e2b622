package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.ColdStart;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.control.EndpointReading;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Tests the endpoints' tables of several daemons before a warm and a cold endpoint. Guards against a burst on an
 * endpoint that has just started, turned cold, or come back from an evacuation.
 */
class EndpointPacingTest {

    private static final PoolId POOL = new PoolId("app");

    private static final long COLD_MILLIS = 20_000;

    private static final double PER_SECOND = 7.3;

    private static final long WALL_MILLIS = 1_780_000_000_000L;

    private static final Endpoint WARM = endpoint("warm", "a", 0);

    private static final Endpoint COLD = endpoint("cold", "b", 0);

    private final EdgeMetrics metrics = new EdgeMetrics();
    private long nowMillis = 100_000;

    private static Endpoint endpoint(String id, String domain, long coldMillis) {
        return new Endpoint(
                new EndpointId(id),
                POOL,
                "10.0.0.1:" + (id.hashCode() & 0x3fff | 1),
                new FailureDomain(domain),
                8,
                false,
                EndpointRole.MIXED,
                1,
                false,
                OptionalLong.empty(),
                SoftwareVersion.UNSTATED,
                coldMillis);
    }

    private static Deployment deployment(Optional<ColdStart> coldStart) {
        Pool pool = new Pool(POOL, 10, Optional.empty(), Optional.empty(), coldStart);
        return new Deployment(1, List.of(), List.of(pool), List.of(), Map.of(), CallerLimits.DEFAULT);
    }

    private EndpointTable table(String self, Collection<InstanceId> fleet) {
        EndpointPermits permits =
                new EndpointPermits(new InstanceId(self), () -> Optional.of(fleet), () -> WALL_MILLIS + nowMillis);
        return new EndpointTable(new EndpointPacing(permits, metrics), true, address -> {});
    }

    private EndpointTable alone(double perSecond, Endpoint... endpoints) {
        EndpointTable table = table("front-1", List.of(new InstanceId("front-1")));
        ColdStart coldStart = new ColdStart(COLD_MILLIS, perSecond);
        table.apply(List.of(endpoints), deployment(Optional.of(coldStart)), nowMillis);
        return table;
    }

    /** What tells a daemon that an endpoint is cold. */
    private enum Source {
        LISTING,
        ENTRY,
        RESPONSE,
        EVACUATION
    }

    private Consumer<EndpointTable> tell(Source source, Deployment deployment) {
        return switch (source) {
            case LISTING -> table -> table.apply(List.of(WARM, COLD), deployment, nowMillis);
            case ENTRY -> table -> table.recordRead(
                    new EndpointReading(0, true, Map.of(), Map.of(), Map.of(COLD.incarnation(), COLD_MILLIS)),
                    nowMillis);
            case RESPONSE -> table -> respond(table, String.valueOf(COLD_MILLIS));
            case EVACUATION -> table -> table.recordColdDomain(COLD.domain(), nowMillis + COLD_MILLIS);
        };
    }

    private void respond(EndpointTable table, String header) {
        EndpointContacts contacts = new EndpointContacts(
                () -> table,
                address -> {},
                new PoisonRequests((cause, crashes) -> {}),
                metrics,
                () -> nowMillis,
                () -> WALL_MILLIS + nowMillis);
        contacts.onResponse(COLD.address(), 200, new DefaultHttpHeaders().set(Headers.COLD, header));
    }

    @ParameterizedTest
    @EnumSource(Source.class)
    void testAllDaemonsTogetherPaceAColdEndpointUntilItIsWarm(Source source) {
        Deployment deployment = deployment(Optional.of(new ColdStart(COLD_MILLIS, PER_SECOND)));
        List<InstanceId> fleet = List.of(new InstanceId("f1"), new InstanceId("f2"), new InstanceId("f3"));
        List<EndpointTable> tables =
                fleet.stream().map(id -> table(id.value(), fleet)).toList();
        List<Endpoint> first = source == Source.LISTING ? List.of(WARM) : List.of(WARM, COLD);
        tables.forEach(table -> table.apply(first, deployment, nowMillis));
        tables.forEach(tell(source, deployment));
        List<Long> sent = new ArrayList<>();
        for (long end = nowMillis + COLD_MILLIS; nowMillis < end; nowMillis += 20) {
            for (EndpointTable table : tables) {
                List<EndpointState> usable = table.usable(POOL, EndpointScope.ALL, nowMillis);
                assertTrue(usable.contains(table.find(WARM.id())), "the excess goes to the other domain");
                if (usable.contains(table.find(COLD.id()))) {
                    table.recordSent(COLD.id(), nowMillis);
                    sent.add(nowMillis);
                }
            }
        }
        long most = sent.stream()
                .mapToLong(from -> sent.stream()
                        .filter(at -> at >= from && at < from + 1_000)
                        .count())
                .max()
                .orElse(0);
        assertTrue(most <= 1.5 * PER_SECOND + 5, most + " requests in a second");
        assertTrue(sent.size() >= PER_SECOND * COLD_MILLIS / 1_000 / 2, sent.size() + " requests");
        nowMillis += 300;
        tables.forEach(table -> assertEquals(
                2, table.available(POOL, EndpointScope.ALL, nowMillis).size()));
    }

    /** Guards against deployments that are served otherwise than before although they state no rate. */
    @ParameterizedTest
    @EnumSource(Source.class)
    void testNoEndpointIsColdWithoutAConfiguredRate(Source source) {
        EndpointTable table = table("f1", List.of());
        Deployment deployment = deployment(Optional.empty());
        table.apply(source == Source.LISTING ? List.of(WARM) : List.of(WARM, COLD), deployment, nowMillis);
        tell(source, deployment).accept(table);
        assertFalse(table.isCold(COLD, nowMillis));
        assertEquals(2, table.available(POOL, EndpointScope.ALL, nowMillis).size());
        assertEquals(Map.of(), table.pacing().changedSince(Long.MIN_VALUE, nowMillis));
    }

    /** Guards against refusals that don't say that the endpoints are cold, and send callers back too early. */
    @Test
    void testRateOfZeroSendsNothingAndSaysSo() {
        EndpointTable table = alone(0, COLD);
        respond(table, "4000.5");
        for (long end = nowMillis + 4_000; nowMillis < end; nowMillis += 50) {
            assertEquals(List.of(), table.usable(POOL, EndpointScope.ALL, nowMillis));
            assertTrue(table.retryAfterMillis(POOL, 10, nowMillis) >= end - nowMillis);
        }
        nowMillis -= 1_000;
        assertEquals(
                Optional.of(
                        "1 of 1 endpoints of the pool are cold and take no requests until they are warm; retry later"),
                table.coldReason(POOL, nowMillis));
        nowMillis += 1_300;
        assertEquals(1, table.usable(POOL, EndpointScope.ALL, nowMillis).size());
        assertEquals(Optional.empty(), table.coldReason(POOL, nowMillis));
    }

    /** Guards against invalid times in responses that end or begin a cold time, or break the handling of responses. */
    @ParameterizedTest
    @CsvSource({"-5", "abc", "NaN", "''", "1e99", "Infinity", "0", "99999999999999999999"})
    void testInvalidTimeInAResponseIsIgnored(String header) {
        EndpointTable table = alone(PER_SECOND, COLD);
        respond(table, header);
        assertFalse(table.isCold(COLD, nowMillis));
        respond(table, "5000");
        respond(table, header);
        assertTrue(table.isCold(COLD, nowMillis + 4_900));
    }

    /** Guards against a time that can't be read in an entry: the endpoint would never be warm, or the listing fail. */
    @Test
    void testUnreadableTimeInAnEntryCountsAsNone() {
        assertFalse(alone(PER_SECOND, endpoint("cold", "b", Endpoint.COLD_TIME_UNREADABLE))
                .isCold(COLD, nowMillis));
    }

    /** Guards against a crowd of prefilled requests on an engine that has turned cold, or that waited for long. */
    @Test
    void testRequestAssignedEarlierNeedsASlotAgain() {
        EndpointTable table = alone(PER_SECOND, COLD);
        long warmSlot = table.recordSent(COLD.id(), nowMillis);
        respond(table, "10000");
        int taken = 0;
        for (int request = 0; request < 50; request++) {
            taken += table.takesAssigned(table.find(COLD.id()), warmSlot, nowMillis) ? 1 : 0;
        }
        assertEquals(3, taken, "the requests of one slot");
        nowMillis += 1_000;
        long coldSlot = table.recordSent(COLD.id(), nowMillis);
        for (int request = 0; request < 50; request++) {
            assertTrue(table.takesAssigned(table.find(COLD.id()), coldSlot, nowMillis + 200));
        }
    }
}
