package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.clock.MedianClock;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.ColdStart;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.resumption.StreamOrigins;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;

/**
 * Tests gossip about cold endpoints among the daemons of two failure domains.
 */
class ColdGossipTest {

    private static final long SECOND_MILLIS = 1_000;

    private static final double COLD_PER_SECOND = 8;

    private static final PoolId POOL = new PoolId("app");

    private static final Endpoint ENDPOINT = new Endpoint(
            new EndpointId("i-1"),
            POOL,
            "10.0.0.1:80",
            new FailureDomain("a"),
            8,
            false,
            EndpointRole.MIXED,
            1,
            false,
            OptionalLong.empty(),
            SoftwareVersion.UNSTATED);

    private final Map<String, Member> members = new TreeMap<>();
    private long nowMillis = 1_000;

    @BeforeEach
    void startAll() {
        for (String name : List.of("a1", "a2", "b1", "b2")) {
            members.put(name, new Member(name));
        }
        members.values().forEach(Member::applyListing);
        advance(2 * SECOND_MILLIS);
    }

    private void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += GossipRound.STEP_MILLIS) {
            members.values().forEach(member -> member.gossiper.sendRound());
        }
    }

    private void tell(String member, long millis) {
        members.get(member).endpoints.pacing().recordCold(ENDPOINT.incarnation(), millis, "response", nowMillis);
    }

    /** Guards against cold endpoints that only the daemons which were told, or were there in time, pace. */
    @Test
    void testColdEndpointIsKnownToAllDaemonsAndToNewOnesUntilItIsWarm() {
        tell("a2", 12 * SECOND_MILLIS);
        advance(SECOND_MILLIS);
        members.values().forEach(member -> assertTrue(member.endpoints.isCold(ENDPOINT, nowMillis)));
        members.remove("a2");
        Member started = new Member("b2");
        members.put("b2", started);
        started.applyListing();
        advance(5 * SECOND_MILLIS);
        assertTrue(started.endpoints.isCold(ENDPOINT, nowMillis));
        advance(7 * SECOND_MILLIS);
        members.values().forEach(member -> assertFalse(member.endpoints.isCold(ENDPOINT, nowMillis)));
    }

    /** Guards against cold endpoints that idle in slots of daemons without requests, and against slots used twice. */
    @Test
    void testDaemonWithoutRequestsLendsItsSlotsInItsDomain() {
        Map<String, Integer> sent = new TreeMap<>();
        tell("a2", 60 * SECOND_MILLIS);
        advance(SECOND_MILLIS);
        for (long end = nowMillis + 50 * SECOND_MILLIS; nowMillis < end; ) {
            advance(GossipRound.STEP_MILLIS);
            for (String name : List.of("a1", "b1", "b2")) {
                EndpointTable endpoints = members.get(name).endpoints;
                if (!endpoints.usable(POOL, EndpointScope.ALL, nowMillis).isEmpty()) {
                    endpoints.recordSent(ENDPOINT.id(), nowMillis);
                    sent.merge(name, 1, Integer::sum);
                }
            }
        }
        double all = COLD_PER_SECOND * 50;
        assertTrue(sent.get("a1") >= 0.4 * all, sent + " of " + all + ": its quarter and that of a2");
        assertTrue(sent.values().stream().mapToInt(count -> count).sum() <= all + 4, sent + " of " + all);
    }

    /** A daemon that delivers datagrams to the others without sockets. */
    private final class Member {

        private final Daemon self;
        private final EndpointTable endpoints;
        private final Gossiper gossiper;

        Member(String name) {
            self = new Daemon(new InstanceId(name), 1, new FailureDomain(name.substring(0, 1)), name, name);
            PeerView peers = new PeerView(self.id(), self.domain(), 2);
            EndpointPermits permits = new EndpointPermits(self.id(), () -> peers.daemons(nowMillis), () -> nowMillis);
            endpoints = new EndpointTable(new EndpointPacing(permits, new EdgeMetrics()), true, address -> {});
            ColdStart coldStart = new ColdStart(20 * SECOND_MILLIS, COLD_PER_SECOND);
            Pool pool = new Pool(POOL, 10, Optional.empty(), Optional.empty(), Optional.of(coldStart));
            endpoints.apply(
                    List.of(ENDPOINT),
                    new Deployment(1, List.of(), List.of(pool), List.of(), Map.of(), CallerLimits.DEFAULT),
                    nowMillis);
            GossipContext context = new GossipContext(
                    self,
                    peers,
                    endpoints,
                    new AccountRateLimits(true),
                    new PoolDemands(),
                    new PoisonRequests((cause, crashes) -> {}),
                    new StreamOrigins(),
                    new WindowCounts(5_000),
                    () -> PeerStatus.of(true),
                    new MedianClock(nowMillis, nowMillis),
                    () -> nowMillis,
                    () -> nowMillis);
            gossiper = new Gossiper(context, this::send, new IgnoredAnnouncements());
        }

        void applyListing() {
            gossiper.apply(members.values().stream()
                    .filter(member -> member != this)
                    .map(member -> member.self)
                    .toList());
        }

        private void send(String address, byte[] datagram) {
            if (!members.containsKey(address)) {
                return;
            }
            try {
                members.get(address).gossiper.receive(Gossip.parseFrom(datagram));
            } catch (InvalidProtocolBufferException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }
}
