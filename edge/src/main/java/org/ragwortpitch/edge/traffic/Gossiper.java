package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiConsumer;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.edge.peer.StoreContact;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.DaemonIncarnation;
import org.ragwortpitch.ledger.PeerCounts;
import org.ragwortpitch.pacing.LimitReading;
import org.ragwortpitch.placement.PeerLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.AccountSpend;
import org.ragwortpitch.wire.generated.GossipProtocol.EndpointLimit;
import org.ragwortpitch.wire.generated.GossipProtocol.EngineLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.HeardDaemon;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolReading;
import org.ragwortpitch.wire.generated.GossipProtocol.WindowCount;

/**
 * Exchanges gossip with the other daemons: account usage, engine load, prompts sent to engines, and endpoints to avoid.
 * Direct peers exchange their own state; one relay of each failure domain sends the others a digest of its domain.
 * Confined to the traffic thread.
 */
public final class Gossiper {

    /** Time for which an endpoint announced as changing is avoided, in milliseconds; each announcement renews it. */
    private static final long AVOID_MILLIS = 700;

    /** As above for announcements of other failure domains, in milliseconds; gossip rounds between them are longer. */
    private static final long CROSS_DOMAIN_AVOID_MILLIS = 1_500;

    /** Most departed members remembered as heard; beyond it, they are passed on once more. */
    private static final int MAX_HEARD_DEPARTED = 256;

    private final GossipContext context;
    private final PeerView peers;
    private final BiConsumer<String, byte[]> send;
    private final SlotLending lending;
    private final GossipWriter writer;
    private final PeerCounts counts = new PeerCounts();
    private final PeerAnnouncements announcements;
    private final Map<EndpointId, Long> peerAvoidedUntilMillis = new HashMap<>();
    private final Set<String> heardDeparted = new HashSet<>();
    private long announcedVersion;
    private Collection<EndpointId> setChangingEndpoints = List.of();

    /**
     * Creates a gossiper without peers.
     *
     * @param send               sends a datagram to an address of the form host:port; datagrams may be lost
     * @param announcements receives what other daemons announce
     */
    public Gossiper(GossipContext context, BiConsumer<String, byte[]> send, PeerAnnouncements announcements) {
        this.context = context;
        this.announcements = announcements;
        this.peers = context.peers();
        this.send = send;
        this.lending = new SlotLending(context);
        this.writer = new GossipWriter(context, lending);
    }

    /**
     * Applies a new listing of the other daemons; the load of those that are no longer direct peers is cleared.
     */
    public void apply(Collection<Daemon> daemons) {
        peers.apply(daemons, context.clockMillis().getAsLong());
        daemons.stream().map(Daemon::id).filter(peer -> !peers.isDirect(peer)).forEach(this::clearLoad);
    }

    /**
     * Sends the current state to the next peers of the round, and clears the load of silent peers.
     */
    public void sendRound() {
        long now = context.clockMillis().getAsLong();
        context.agreed().advance(now, context.wallMillis().getAsLong());
        byte[] own = writer.peerState(peers.directRound().stepCount(), avoided(now));
        peers.directRound().nextBatch().forEach(daemon -> {
            send.accept(daemon.peerAddress(), own);
            clearLoadIfSilent(daemon.id(), now);
        });
        List<Daemon> otherDomains = peers.crossDomainRound().nextBatch();
        otherDomains.forEach(
                daemon -> clearLoadIfSilent(domainSender(daemon.domain().value()), now));
        if (!otherDomains.isEmpty() && peers.isRelay(now)) {
            byte[] digest = writer.domainDigest(peers.crossDomainRound().stepCount(), avoidedInDomain(now), now);
            otherDomains.forEach(daemon -> send.accept(daemon.peerAddress(), digest));
        }
        peers.fleetSize(now).ifPresent(size -> context.accounts().setShare((double) peers.knownCount(now) / size, now));
    }

    /**
     * Applies a datagram of another daemon. The state in an outdated datagram is ignored, but not its offset of the
     * endpoints; datagrams of this daemon itself are ignored.
     */
    public void receive(Gossip gossip) {
        InstanceId peer = new InstanceId(gossip.getInstance());
        if (peer.equals(context.self().id())) {
            return;
        }
        if (writer.advanceEndpointsChanged(gossip.getEndpointsChanged() - 1)) {
            announcements.onEndpointsChanged(gossip.getEndpointsChanged() - 1);
        }
        if (gossip.getDeploymentVersion() > announcedVersion) {
            announcedVersion = gossip.getDeploymentVersion();
            announcements.onDeploymentAnnounced(announcedVersion);
        }
        receiveDeparted(gossip.getDepartedMembersList());
        long now = context.clockMillis().getAsLong();
        // Crashes, limits, the origins of streams, endpoints that leave or are cold and evacuations count whoever
        // reports them, also
        // before the list of daemons is read.
        gossip.getCrashedEndpointsList()
                .forEach(crash -> context.poisonRequests().mergeCrash(EndpointCrashCodec.decode(crash, now), now));
        gossip.getBegunStreamsList().forEach(streams -> StreamOriginCodec.decode(streams, now)
                .forEach(origin -> context.origins().learn(origin, now)));
        gossip.getLeavingEndpointsList().forEach(endpoint -> context.endpoints()
                .recordLeaving(
                        new EndpointIncarnation(new EndpointId(endpoint.getEndpoint()), endpoint.getBornMillis()),
                        now));
        EvacuationCodec.decode(gossip.getEvacuationsList()).forEach(order -> context.endpoints()
                .apply(context.endpoints().evacuations().with(order), "peer " + peer, now));
        gossip.getColdEndpointsList().forEach(endpoint -> context.endpoints()
                .pacing()
                .recordCold(
                        new EndpointIncarnation(new EndpointId(endpoint.getEndpoint()), endpoint.getBornMillis()),
                        endpoint.getRemainingMillis(),
                        "peer",
                        now));
        boolean direct = gossip.getDigestOf().isEmpty() && peers.isDirect(peer);
        gossip.getLimitsList().forEach(limit -> receiveLimit(limit, direct, now));
        gossip.getLentSlotsList().forEach(slot -> lending.receive(slot, peer, now));
        if (!gossip.getDigestOf().isEmpty()) {
            receiveDomainDigest(peer, gossip);
        } else if (direct) {
            receivePeerState(peer, gossip);
        } else {
            peers.recordUnlisted(peer, now);
        }
    }

    private void receiveDeparted(Collection<String> members) {
        if (heardDeparted.size() > MAX_HEARD_DEPARTED) {
            heardDeparted.clear();
        }
        List<String> news = members.stream().filter(heardDeparted::add).toList();
        if (!news.isEmpty()) {
            announcements.onMembersDeparted(news);
        }
    }

    private void receiveLimit(EndpointLimit limit, boolean direct, long nowMillis) {
        EndpointState state = context.endpoints().find(new EndpointId(limit.getEndpoint()));
        if (state != null && state.endpoint().startMillis() == limit.getBornMillis()) {
            OptionalDouble perSecond = limit.hasPerSecond() && limit.getPerSecond() >= 0
                    ? OptionalDouble.of(limit.getPerSecond())
                    : OptionalDouble.empty();
            state.learnLimit(new LimitReading(perSecond, nowMillis - Math.max(0, limit.getAgeMillis())), direct);
        }
    }

    private void receivePeerState(InstanceId peer, Gossip gossip) {
        long now = context.clockMillis().getAsLong();
        long startMillis = gossip.getBornMillis();
        if (!peers.recordGossip(peer, startMillis, gossip.getSequence(), status(gossip), now)) {
            return;
        }
        context.agreed()
                .recordReading(
                        peer, gossip.getWallMillis(), now, context.wallMillis().getAsLong());
        for (AccountSpend spend : gossip.getSpendsList()) {
            context.accounts()
                    .directPeerSpent(peer, startMillis, new AccountId(spend.getAccount()), spend.getTokens(), now);
        }
        DaemonIncarnation incarnation = new DaemonIncarnation(peer, startMillis);
        for (WindowCount count : gossip.getCountsList()) {
            counts.merge(incarnation, count.getWindow(), new AccountId(count.getAccount()), count.getCount());
        }
        for (PoolReading reading : gossip.getReadingsList()) {
            context.demands().recordDirectPeer(peer, startMillis, new PoolId(reading.getPool()), reading.getTokens());
        }
        context.demands().overflows().recordShares(context.self().domain(), gossip.getOverflowsList(), now);
        EngineSpeedCodec.learn(context.endpoints(), peer, gossip.getEngineSpeedsList(), now);
        List<EndpointId> avoided =
                gossip.getChangingList().stream().map(EndpointId::new).toList();
        context.endpoints().avoid(avoided, now + AVOID_MILLIS);
        avoided.forEach(endpoint -> peerAvoidedUntilMillis.put(endpoint, now + AVOID_MILLIS));
        clearLoad(peer);
        for (EngineLoad load : gossip.getLoadsList()) {
            EndpointState state = engine(load);
            if (state != null) {
                state.engine().updatePeerLoad(peer, load(load));
                state.recordBlocksSentByDirectPeer(prefixBlocks(load));
            }
        }
    }

    private void receiveDomainDigest(InstanceId relay, Gossip gossip) {
        long now = context.clockMillis().getAsLong();
        InstanceId domain = domainSender(gossip.getDigestOf());
        boolean own = gossip.getDigestOf().equals(context.self().domain().value());
        if (own
                || !peers.recordGossip(
                        relaySender(relay), gossip.getBornMillis(), gossip.getSequence(), PeerStatus.of(true), now)) {
            return;
        }
        peers.recordRelayedState(domain, PeerStatus.of(true), 0, now);
        peers.recordRelayedState(relay, status(gossip), 0, now);
        for (HeardDaemon relayed : gossip.getHeardList()) {
            PeerStatus status = PeerStatus.decode(
                    relayed.getReady(),
                    relayed.getProxyPort(),
                    relayed.getUnreachablePoolsList(),
                    new StoreContact(relayed.getStoreReachable(), 0));
            peers.recordRelayedState(new InstanceId(relayed.getInstance()), status, relayed.getAgeMillis(), now);
        }
        context.agreed()
                .recordReading(
                        relay, gossip.getWallMillis(), now, context.wallMillis().getAsLong());
        // Totals from another relay have another base, like those of another incarnation.
        long incarnation = gossip.getBornMillis() ^ relay.value().hashCode();
        for (AccountSpend spend : gossip.getSpendsList()) {
            context.accounts()
                    .peerSpent(domain, incarnation, new AccountId(spend.getAccount()), spend.getTokens(), now);
        }
        receiveDemand(gossip, domain, incarnation, now);
        EngineSpeedCodec.learn(context.endpoints(), domain, gossip.getEngineSpeedsList(), now);
        context.endpoints()
                .avoid(
                        gossip.getChangingList().stream().map(EndpointId::new).toList(),
                        now + CROSS_DOMAIN_AVOID_MILLIS);
        clearLoad(domain);
        for (EngineLoad load : gossip.getLoadsList()) {
            EndpointState state = engine(load);
            if (state != null) {
                state.engine().updatePeerLoad(domain, load(load));
                state.engine().cache().sent(prefixBlocks(load));
            }
        }
    }

    private void receiveDemand(Gossip digest, InstanceId sender, long incarnation, long nowMillis) {
        FailureDomain domain = new FailureDomain(digest.getDigestOf());
        for (PoolReading reading : digest.getReadingsList()) {
            PoolId pool = new PoolId(reading.getPool());
            context.demands().recordDomain(domain, sender, incarnation, pool, reading.getTokens(), nowMillis);
        }
        context.demands().overflows().recordShares(domain, digest.getOverflowsList(), nowMillis);
    }

    /**
     * Records the store offset of the newest change of the endpoints that this daemon has read, for its next datagrams.
     */
    public void endpointsChangedAt(long offset) {
        writer.advanceEndpointsChanged(offset);
    }

    /**
     * Sets the members of the duties' group that other daemons are told of, as they have stopped for good.
     */
    public void setDepartedMembers(Collection<String> members) {
        writer.setDepartedMembers(members);
    }

    /**
     * Returns a copy of the request counts received from other daemons, by usage window, incarnation and account.
     */
    public Map<Long, Map<DaemonIncarnation, Map<AccountId, Long>>> receivedCounts() {
        return counts.copy();
    }

    /**
     * Sets the endpoints that are changing their role; they are avoided here and announced to other daemons.
     */
    public void setChangingEndpoints(Collection<EndpointId> endpoints) {
        setChangingEndpoints = List.copyOf(endpoints);
        context.endpoints().avoid(setChangingEndpoints, context.clockMillis().getAsLong() + AVOID_MILLIS);
    }

    private Set<EndpointId> avoided(long nowMillis) {
        Set<EndpointId> avoided = new HashSet<>(setChangingEndpoints);
        context.endpoints().all().stream()
                .filter(state -> state.isRefusalAnnounced(nowMillis))
                .forEach(state -> avoided.add(state.endpoint().id()));
        return avoided;
    }

    private Set<EndpointId> avoidedInDomain(long nowMillis) {
        peerAvoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        Set<EndpointId> avoided = avoided(nowMillis);
        avoided.addAll(peerAvoidedUntilMillis.keySet());
        return avoided;
    }

    private static PeerStatus status(Gossip gossip) {
        return PeerStatus.decode(
                gossip.getReady(),
                gossip.getProxyPort(),
                gossip.getUnreachablePoolsList(),
                new StoreContact(gossip.getStoreReachable(), gossip.getDeploymentVersion()));
    }

    private EndpointState engine(EngineLoad load) {
        EndpointState state = context.endpoints().find(new EndpointId(load.getEndpoint()));
        return state == null || state.engine() == null ? null : state;
    }

    private static PeerLoad load(EngineLoad load) {
        return new PeerLoad(load.getRunning(), load.getHeldTokens(), load.getReadingTokens());
    }

    private static List<PrefixBlock> prefixBlocks(EngineLoad load) {
        List<PrefixBlock> sent = new ArrayList<>();
        for (int index = 0; index < Math.min(load.getPartIdsCount(), load.getPartTokensCount()); index++) {
            sent.add(new PrefixBlock(load.getPartIds(index), load.getPartTokens(index)));
        }
        return sent;
    }

    private static InstanceId domainSender(String domain) {
        return new InstanceId("domain " + domain);
    }

    private static InstanceId relaySender(InstanceId relay) {
        return new InstanceId("relay " + relay.value());
    }

    private void clearLoadIfSilent(InstanceId peer, long nowMillis) {
        if (!peers.isReachable(peer, nowMillis)) {
            clearLoad(peer);
        }
    }

    private void clearLoad(InstanceId peer) {
        context.endpoints().all().stream()
                .filter(state -> state.engine() != null)
                .forEach(state -> state.engine().updatePeerLoad(peer, new PeerLoad(0, 0, 0)));
    }
}
