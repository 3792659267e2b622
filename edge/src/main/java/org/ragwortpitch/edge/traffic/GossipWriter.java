package org.ragwortpitch.edge.traffic;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.edge.peer.GossipRound;
import org.ragwortpitch.edge.peer.PeerStatus;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.pacing.EndpointPacer;
import org.ragwortpitch.pacing.LimitReading;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.PeerLoad;
import org.ragwortpitch.placement.SpeedReport;
import org.ragwortpitch.wire.generated.GossipProtocol.AccountSpend;
import org.ragwortpitch.wire.generated.GossipProtocol.ColdEndpoint;
import org.ragwortpitch.wire.generated.GossipProtocol.CrashedEndpoint;
import org.ragwortpitch.wire.generated.GossipProtocol.EndpointLimit;
import org.ragwortpitch.wire.generated.GossipProtocol.EngineLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.HeardDaemon;
import org.ragwortpitch.wire.generated.GossipProtocol.LeavingEndpoint;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolReading;
import org.ragwortpitch.wire.generated.GossipProtocol.WindowCount;

/**
 * Encodes gossip datagrams: the state of this daemon for direct peers, and a digest of its failure domain for other
 * domains. A digest holds sums, so that its size hardly grows with the number of daemons. Confined to the traffic
 * thread.
 */
final class GossipWriter {

    /** Rounds in which a fact is told after each change; tolerates two lost datagrams. */
    private static final int ROUNDS_OF_NEW_FACTS = 3;

    /** Every so many rounds all facts are told, which may be several KB for the slowest link. */
    private static final int ROUNDS_BETWEEN_ALL_FACTS = 5;

    /** How long daemons tell each other that an endpoint has no limit any more, in milliseconds. */
    private static final long ENDED_LIMIT_MILLIS = 30_000;

    /** About how many cold endpoints one datagram tells of, 40 bytes each. */
    private static final int MAX_COLD_PER_DATAGRAM = 64;

    /** Leaves room for the other facts of a message in a datagram of at most 65,507 bytes. */
    private static final int MAX_CRASH_BYTES_PER_DATAGRAM = 24_000;

    private final GossipContext context;
    private final SlotLending lending;
    private long sequence;
    private long endpointsChangedOffset = -1;
    private List<String> departedMembers = List.of();

    GossipWriter(GossipContext context, SlotLending lending) {
        this.context = context;
        this.lending = lending;
    }

    /**
     * Advances the store offset of the newest known change of the endpoints.
     *
     * @return whether the offset is newer than the one before
     */
    boolean advanceEndpointsChanged(long offset) {
        boolean newer = offset > endpointsChangedOffset;
        endpointsChangedOffset = Math.max(endpointsChangedOffset, offset);
        return newer;
    }

    /**
     * Sets the members of the duties' group to tell of, as they have stopped for good.
     */
    void setDepartedMembers(Collection<String> members) {
        departedMembers = List.copyOf(members);
    }

    /**
     * Encodes the account usage, request counts, engine load and crashes of this daemon.
     *
     * @param times   datagrams that repeat each recent item, one for each direct peer
     * @param avoided endpoints that serve nothing now according to this daemon's own observations
     */
    byte[] peerState(int times, Collection<EndpointId> avoided) {
        Gossip.Builder gossip = newGossip(times);
        context.accounts()
                .forEachSpent((account, tokens) -> gossip.addSpends(
                        AccountSpend.newBuilder().setAccount(account.value()).setTokens(tokens)));
        context.usage()
                .recent()
                .forEach(
                        (window, counts) -> counts.forEach((account, count) -> gossip.addCounts(WindowCount.newBuilder()
                                .setWindow(window)
                                .setAccount(account.value())
                                .setCount(count))));
        avoided.forEach(endpoint -> gossip.addChanging(endpoint.value()));
        context.demands()
                .forEachOwn((pool, tokens) -> gossip.addReadings(
                        PoolReading.newBuilder().setPool(pool.value()).setTokens(tokens)));
        forEachEngine(state -> addLoad(gossip, state, state.engine().load(peer -> false), state.nextSentBlocks(times)));
        addLimits(gossip, EndpointPacer::own);
        gossip.addAllLentSlots(lending.next());
        long nowMillis = context.clockMillis().getAsLong();
        addSpeeds(gossip, engine -> engine.ownSpeedReport(nowMillis), times, nowMillis);
        gossip.addAllBegunStreams(StreamOriginCodec.encode(
                context.origins().ownSince(toldSinceMillis(times, nowMillis), nowMillis), nowMillis));
        return gossip.build().toByteArray();
    }

    /**
     * Encodes the summed account usage and engine load of the daemons of this failure domain.
     *
     * @param times   datagrams that repeat each recent item, one for each daemon of other domains
     * @param avoided endpoints that serve nothing now according to the daemons of this domain
     */
    byte[] domainDigest(int times, Collection<EndpointId> avoided, long nowMillis) {
        Gossip.Builder gossip =
                newGossip(times).setDigestOf(context.self().domain().value());
        context.peers()
                .reachableDirect(nowMillis)
                .forEach((peer, status) -> gossip.addHeard(HeardDaemon.newBuilder()
                        .setInstance(peer.value())
                        .setReady(status.ready())
                        .setProxyPort(status.proxyPort())
                        .setStoreReachable(status.store().reachable())
                        .addAllUnreachablePools(status.unreachablePoolNames())
                        .setAgeMillis(context.peers().ageMillis(peer, nowMillis))));
        avoided.forEach(endpoint -> gossip.addChanging(endpoint.value()));
        context.accounts()
                .forEachSpentInDomain((account, tokens) -> gossip.addSpends(
                        AccountSpend.newBuilder().setAccount(account.value()).setTokens(tokens)));
        context.demands()
                .forEachInDomain((pool, tokens) -> gossip.addReadings(
                        PoolReading.newBuilder().setPool(pool.value()).setTokens(tokens)));
        forEachEngine(state -> addLoad(
                gossip, state, state.engine().load(context.peers()::isDirect), state.nextBlocksSentInDomain(times)));
        addLimits(gossip, EndpointPacer::inDomain);
        addSpeeds(gossip, engine -> engine.speedReport(context.peers()::isDirect, nowMillis), times, nowMillis);
        gossip.addAllBegunStreams(StreamOriginCodec.encode(
                context.origins().knownSince(toldSinceMillis(times, nowMillis), nowMillis), nowMillis));
        return gossip.build().toByteArray();
    }

    private Gossip.Builder newGossip(int steps) {
        PeerStatus status = context.status().get();
        Gossip.Builder gossip = Gossip.newBuilder()
                .setInstance(context.self().id().value())
                .setBornMillis(context.self().startMillis())
                .setSequence(++sequence)
                .setEndpointsChanged(endpointsChangedOffset + 1)
                .setReady(status.ready())
                .setProxyPort(status.proxyPort())
                .addAllUnreachablePools(status.unreachablePoolNames())
                .setStoreReachable(status.store().reachable())
                .setDeploymentVersion(status.store().deploymentVersion())
                .setWallMillis(context.wallMillis().getAsLong())
                .addAllDepartedMembers(departedMembers);
        context.endpoints()
                .saidToLeave()
                .forEach(endpoint -> gossip.addLeavingEndpoints(LeavingEndpoint.newBuilder()
                        .setEndpoint(endpoint.endpoint().value())
                        .setBornMillis(endpoint.startMillis())));
        gossip.addAllEvacuations(EvacuationCodec.encode(context.endpoints().evacuations()));
        long nowMillis = context.clockMillis().getAsLong();
        gossip.addAllOverflows(context.demands().overflows().encode(nowMillis));
        addCold(gossip, steps, nowMillis);
        addCrashes(gossip, steps, nowMillis);
        return gossip;
    }

    /**
     * Tells of crashes. Where they are too long for a datagram, they take turns.
     */
    private void addCrashes(Gossip.Builder gossip, int steps, long nowMillis) {
        List<CrashedEndpoint> crashes =
                context.poisonRequests().crashesChangedSince(toldSinceMillis(steps, nowMillis), nowMillis).stream()
                        .map(crash -> EndpointCrashCodec.encode(crash, nowMillis))
                        .toList();
        int bytes =
                crashes.stream().mapToInt(CrashedEndpoint::getSerializedSize).sum();
        int parts = 1 + bytes / MAX_CRASH_BYTES_PER_DATAGRAM;
        long turn = roundIndex(steps, nowMillis);
        crashes.stream()
                .filter(crash ->
                        Math.floorMod(crash.getEndpoint().hashCode() + crash.getBornMillis(), parts) == turn % parts)
                .forEach(gossip::addCrashedEndpoints);
    }

    /**
     * Tells of cold endpoints. Where there are too many for a datagram, they take turns; the entries, which all daemons
     * read, state the same.
     */
    private void addCold(Gossip.Builder gossip, int steps, long nowMillis) {
        Map<EndpointIncarnation, Long> cold =
                context.endpoints().pacing().changedSince(toldSinceMillis(steps, nowMillis), nowMillis);
        long turn = nowMillis / (steps * GossipRound.STEP_MILLIS * ROUNDS_BETWEEN_ALL_FACTS);
        long parts = (cold.size() + MAX_COLD_PER_DATAGRAM - 1) / MAX_COLD_PER_DATAGRAM;
        cold.forEach((endpoint, millis) -> {
            if (Math.floorMod(endpoint.hashCode(), parts) == turn % parts) {
                gossip.addColdEndpoints(ColdEndpoint.newBuilder()
                        .setEndpoint(endpoint.endpoint().value())
                        .setBornMillis(endpoint.startMillis())
                        .setRemainingMillis(millis));
            }
        });
    }

    /**
     * Returns since when a fact must have changed to be told now: within the last rounds, or ever in one of several
     * rounds, for daemons that have missed it.
     *
     * @param steps steps of a round
     */
    private static long toldSinceMillis(int steps, long nowMillis) {
        long roundMillis = steps * GossipRound.STEP_MILLIS;
        boolean all = nowMillis / roundMillis % ROUNDS_BETWEEN_ALL_FACTS == 0;
        return all ? Long.MIN_VALUE : nowMillis - ROUNDS_OF_NEW_FACTS * roundMillis;
    }

    private void addSpeeds(
            Gossip.Builder gossip, Function<EngineState, Optional<SpeedReport>> source, int steps, long nowMillis) {
        gossip.addAllEngineSpeeds(EngineSpeedCodec.encode(
                context.endpoints(),
                source,
                toldSinceMillis(steps, nowMillis),
                roundIndex(steps, nowMillis),
                nowMillis));
    }

    /**
     * Returns the number of a round. Rounds that tell all facts are counted by themselves, so that each fact that takes
     * turns is told in one of them.
     */
    private static long roundIndex(int steps, long nowMillis) {
        long round = nowMillis / (steps * GossipRound.STEP_MILLIS);
        return toldSinceMillis(steps, nowMillis) == Long.MIN_VALUE ? round / ROUNDS_BETWEEN_ALL_FACTS : round;
    }

    private void addLimits(Gossip.Builder gossip, Function<EndpointPacer, Optional<LimitReading>> source) {
        long nowMillis = context.clockMillis().getAsLong();
        for (EndpointState state : context.endpoints().all()) {
            source.apply(state.pacer())
                    .filter(reading ->
                            reading.perSecond().isPresent() || nowMillis - reading.atMillis() < ENDED_LIMIT_MILLIS)
                    .ifPresent(reading -> gossip.addLimits(limit(state.endpoint(), reading, nowMillis)));
        }
    }

    private static EndpointLimit.Builder limit(Endpoint endpoint, LimitReading reading, long nowMillis) {
        EndpointLimit.Builder limit = EndpointLimit.newBuilder()
                .setEndpoint(endpoint.id().value())
                .setBornMillis(endpoint.startMillis())
                .setAgeMillis(nowMillis - reading.atMillis());
        reading.perSecond().ifPresent(limit::setPerSecond);
        return limit;
    }

    private void forEachEngine(Consumer<EndpointState> action) {
        context.endpoints().all().stream()
                .filter(state -> state.engine() != null)
                .forEach(action);
    }

    private static void addLoad(Gossip.Builder gossip, EndpointState state, PeerLoad load, List<PrefixBlock> sent) {
        if (load.running() == 0 && sent.isEmpty()) {
            return;
        }
        EngineLoad.Builder engine = EngineLoad.newBuilder()
                .setEndpoint(state.endpoint().id().value())
                .setRunning(load.running())
                .setHeldTokens(load.kvCacheTokens())
                .setReadingTokens(load.prefillTokens());
        sent.forEach(part -> engine.addPartIds(part.id()).addPartTokens(part.tokens()));
        gossip.addLoads(engine);
    }
}
