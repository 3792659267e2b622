package org.ragwortpitch.edge.traffic;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.ragwortpitch.deployment.PromptPart;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.placement.PeerLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.AccountSpend;
import org.ragwortpitch.wire.generated.GossipProtocol.CrashedRequest;
import org.ragwortpitch.wire.generated.GossipProtocol.EngineLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.HeardDaemon;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolReading;
import org.ragwortpitch.wire.generated.GossipProtocol.WindowCount;

/**
 * Writes what a daemon tells of itself, and what it tells of its failure domain to other ones: sums, so that its length
 * doesn't grow with the daemons. Confined to the traffic thread.
 */
final class GossipWriter {

    private final GossipParts parts;
    private long sequence;
    private long endpointsChangedOffset = -1;

    GossipWriter(GossipParts parts) {
        this.parts = parts;
    }

    /**
     * Notes a change of the endpoints.
     *
     * @return whether it is newer than what was known
     */
    boolean noteEndpointsChanged(long offset) {
        boolean newer = offset > endpointsChangedOffset;
        endpointsChangedOffset = Math.max(endpointsChangedOffset, offset);
        return newer;
    }

    /**
     * Writes what this daemon has spent and has under way.
     *
     * @param times   how often news are told, once to each daemon
     * @param avoided the endpoints that serve nothing now, as this daemon knows by itself
     */
    byte[] own(int times, Collection<EndpointId> avoided) {
        Gossip.Builder gossip = begin();
        parts.accounts()
                .eachSpent((account, tokens) -> gossip.addSpends(
                        AccountSpend.newBuilder().setAccount(account.value()).setTokens(tokens)));
        parts.usage()
                .recent()
                .forEach(
                        (window, counts) -> counts.forEach((account, count) -> gossip.addCounts(WindowCount.newBuilder()
                                .setWindow(window)
                                .setAccount(account.value())
                                .setCount(count))));
        parts.suspects()
                .tell(
                        times,
                        (request, crashes) -> gossip.addCrashes(CrashedRequest.newBuilder()
                                .setFingerprint(request.value())
                                .setCrashes(crashes)));
        avoided.forEach(endpoint -> gossip.addChanging(endpoint.value()));
        parts.demands()
                .eachOwn((pool, tokens) -> gossip.addReadings(
                        PoolReading.newBuilder().setPool(pool.value()).setTokens(tokens)));
        eachEngine(state -> addLoad(gossip, state, state.engine().load(peer -> false), state.sentParts(times)));
        return gossip.build().toByteArray();
    }

    /**
     * Writes what the daemons of this failure domain together have spent and have under way.
     *
     * @param times   how often news are told, once to each daemon
     * @param avoided the endpoints that serve nothing now, as the daemons of this domain know
     */
    byte[] digest(int times, Collection<EndpointId> avoided, long nowMillis) {
        Gossip.Builder gossip = begin().setDigestOf(parts.self().domain().value());
        parts.peers()
                .nearHeard(nowMillis)
                .forEach((peer, ready) -> gossip.addHeard(
                        HeardDaemon.newBuilder().setInstance(peer.value()).setReady(ready)));
        avoided.forEach(endpoint -> gossip.addChanging(endpoint.value()));
        parts.accounts()
                .eachSpentInDomain((account, tokens) -> gossip.addSpends(
                        AccountSpend.newBuilder().setAccount(account.value()).setTokens(tokens)));
        parts.suspects()
                .tellOfDomain(
                        times,
                        (request, crashes) -> gossip.addCrashes(CrashedRequest.newBuilder()
                                .setFingerprint(request.value())
                                .setCrashes(crashes)));
        parts.demands()
                .eachOfDomain((pool, tokens) -> gossip.addReadings(
                        PoolReading.newBuilder().setPool(pool.value()).setTokens(tokens)));
        eachEngine(state ->
                addLoad(gossip, state, state.engine().load(parts.peers()::isNear), state.domainSentParts(times)));
        return gossip.build().toByteArray();
    }

    private Gossip.Builder begin() {
        return Gossip.newBuilder()
                .setInstance(parts.self().id().value())
                .setBornMillis(parts.self().bornMillis())
                .setSequence(++sequence)
                .setEndpointsChanged(endpointsChangedOffset + 1)
                .setReady(parts.ready().getAsBoolean())
                .setWallMillis(parts.wallMillis().getAsLong());
    }

    private void eachEngine(Consumer<EndpointState> action) {
        parts.fleet().all().stream().filter(state -> state.engine() != null).forEach(action);
    }

    private static void addLoad(Gossip.Builder gossip, EndpointState state, PeerLoad load, List<PromptPart> sent) {
        if (load.running() == 0 && sent.isEmpty()) {
            return;
        }
        EngineLoad.Builder engine = EngineLoad.newBuilder()
                .setEndpoint(state.endpoint().id().value())
                .setRunning(load.running())
                .setHeldTokens(load.heldTokens())
                .setReadingTokens(load.readingTokens());
        sent.forEach(part -> engine.addPartIds(part.id()).addPartTokens(part.tokens()));
        gossip.addLoads(engine);
    }
}
