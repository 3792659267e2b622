package org.ragwortpitch.edge.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.clock.MedianClock;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.CallerLimits;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.evacuation.EvacuationOrder;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.evacuation.StorePosition;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.overflow.DomainShares;
import org.ragwortpitch.overflow.RequestDomains;
import org.ragwortpitch.resumption.StreamOrigins;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolOverflow;

/**
 * Tests the shares that two daemons in each of two failure domains compute from their gossip, with one prefill engine
 * of 37 tokens a millisecond in each domain. The first domain has a demand of 40.
 */
class OverflowGossipTest {

    private static final PoolId POOL = new PoolId("llm");

    private static final FailureDomain A = new FailureDomain("a");

    private static final FailureDomain B = new FailureDomain("b");

    private static final Generation PROMPT = new Generation(10, 10, List.of());

    private static final long REFRESH_MILLIS = 500;

    private final Map<String, Member> members = new TreeMap<>();
    private final Set<String> silent = new HashSet<>();
    private long nowMillis = 1_000;

    @BeforeEach
    void start() {
        for (String name : List.of("a1", "a2", "b1", "b2")) {
            members.put(name, new Member(name));
        }
        members.values().forEach(Member::applyListing);
    }

    private void advance(long millis, double demandOfA, double demandOfB) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += GossipRound.STEP_MILLIS) {
            members.forEach((name, member) -> {
                double demand = (name.startsWith("a") ? demandOfA : demandOfB) / 2;
                member.demands.recordPrefill(POOL, (long) (demand * GossipRound.STEP_MILLIS));
                member.gossiper.sendRound();
                if (nowMillis % REFRESH_MILLIS == 0) {
                    member.demands.overflows().refresh(member.self.domain(), member.endpoints, nowMillis);
                }
            });
        }
    }

    private DomainShares shares(String member) {
        Map<PoolId, DomainShares> shares = new HashMap<>();
        members.get(member).demands.overflows().forEach(shares::put);
        return shares.get(POOL);
    }

    /** Guards against daemons of one domain that send different shares, and against targets that send demand back. */
    @Test
    void testDaemonsOfADomainAgreeOnTheShare() {
        advance(20_000, 40, 4);
        assertEquals((40 - 0.8 * 37) / 40, shares("a1").total(), 0.03);
        assertEquals(shares("a1").total(), shares("a2").total(), 0.02);
        for (String target : List.of("b1", "b2")) {
            assertEquals(0, shares(target).total());
            assertEquals(Set.of(A), shares(target).avoided());
        }
    }

    /** Guards against changes for deployments whose domains have room. */
    @Test
    void testAnyDomainIsAllowedWhileThereIsRoom() {
        advance(20_000, 20, 20);
        members.values()
                .forEach(member -> assertEquals(
                        RequestDomains.ANY, member.demands.overflows().decide(POOL, PROMPT, "attempt")));
    }

    /** Guards against shares from figures that are no longer received, which count as in a daemon that knows none. */
    @Test
    void testShareFallsWhileTheOtherDomainIsSilent() {
        advance(20_000, 40, 4);
        double fresh = shares("a1").total();
        silent.addAll(List.of("b1", "b2"));
        advance(3_500, 40, 4);
        assertTrue(shares("a1").total() < fresh * 0.8, "share " + shares("a1").total());
        advance(3_000, 40, 4);
        assertEquals(DomainShares.NONE, shares("a1"));
    }

    /** Guards against requests that are kept in an evacuated domain, or sent there. */
    @ParameterizedTest
    @CsvSource({"a", "b"})
    void testEvacuatedDomainHasNoCapacity(String evacuated) {
        advance(20_000, 40, 4);
        EvacuationOrder order = new EvacuationOrder(new FailureDomain(evacuated), new StorePosition(1, 1), true);
        members.values().forEach(member -> member.endpoints.apply(Evacuations.NONE.with(order), "test", nowMillis));
        advance(1_000, 40, 4);
        assertEquals(DomainShares.NONE, shares("a1"));
        assertEquals(DomainShares.NONE, shares("b1"));
    }

    /** Guards against shares from gossip that is absurd or old. */
    @ParameterizedTest
    @CsvSource({"NaN, 0, false", "1.5, 0, false", "-1, 0, false", "0.5, -1, false", "0.5, 60000, false", "0.5, 0, true"
    })
    void testReportedShareCountsIfItIsSound(double share, long ageMillis, boolean counts) {
        advance(20_000, 4, 28);
        PoolOverflow overflow = PoolOverflow.newBuilder()
                .setPool(POOL.value())
                .setShare(share)
                .setAgeMillis(ageMillis)
                .build();
        members.get("a1").demands.overflows().recordShares(B, List.of(overflow), nowMillis);
        members.get("a1").demands.overflows().refresh(A, members.get("a1").endpoints, nowMillis);
        assertEquals(counts ? Set.of(B) : Set.of(), shares("a1").avoided());
    }

    /**
     * A daemon that delivers datagrams to the others without sockets.
     */
    private final class Member {

        private final Daemon self;
        private final EndpointTable endpoints;
        private final PoolDemands demands = new PoolDemands();
        private final Gossiper gossiper;

        Member(String name) {
            self = new Daemon(new InstanceId(name), 1, new FailureDomain(name.substring(0, 1)), name, name);
            PeerView peers = new PeerView(self.id(), self.domain(), 2);
            EndpointPermits permits = new EndpointPermits(self.id(), () -> peers.daemons(nowMillis), () -> nowMillis);
            endpoints = new EndpointTable(new EndpointPacing(permits, new EdgeMetrics()), true, address -> {});
            EngineSpec spec = new EngineSpec(64, 500_000, 1, 1, 1, 1);
            Deployment deployment = new Deployment(
                    1,
                    List.of(),
                    List.of(new Pool(POOL, 10, Optional.of(spec), Optional.empty())),
                    List.of(),
                    Map.of(),
                    CallerLimits.DEFAULT);
            endpoints.apply(List.of(engine(A), engine(B)), deployment, nowMillis);
            GossipContext context = new GossipContext(
                    self,
                    peers,
                    endpoints,
                    new AccountRateLimits(true),
                    demands,
                    new PoisonRequests((block, crashes) -> {}),
                    new StreamOrigins(),
                    new WindowCounts(5_000),
                    () -> PeerStatus.of(true),
                    new MedianClock(nowMillis, nowMillis),
                    () -> nowMillis,
                    () -> nowMillis);
            gossiper = new Gossiper(context, this::send, new IgnoredAnnouncements());
        }

        private static Endpoint engine(FailureDomain domain) {
            return new Endpoint(
                    new EndpointId("i-" + domain),
                    POOL,
                    "10.0.0.1:8" + domain.value().codePointAt(0),
                    domain,
                    64,
                    false,
                    EndpointRole.PREFILL,
                    1,
                    false,
                    OptionalLong.empty(),
                    SoftwareVersion.UNSTATED);
        }

        void applyListing() {
            gossiper.apply(members.values().stream()
                    .filter(member -> member != this)
                    .map(member -> member.self)
                    .toList());
        }

        private void send(String address, byte[] datagram) {
            if (!silent.contains(self.id().value())) {
                try {
                    members.get(address).gossiper.receive(Gossip.parseFrom(datagram));
                } catch (InvalidProtocolBufferException exception) {
                    throw new IllegalStateException(exception);
                }
            }
        }
    }
}
