package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.PromptPart;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.Life;
import org.ragwortpitch.ledger.PeerCounts;
import org.ragwortpitch.placement.PeerLoad;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.wire.generated.GossipProtocol.AccountSpend;
import org.ragwortpitch.wire.generated.GossipProtocol.EngineLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.HeardDaemon;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolReading;
import org.ragwortpitch.wire.generated.GossipProtocol.WindowCount;

/**
 * Tells the other daemons what this one has spent and has under way, and takes over what they tell. Confined to the
 * traffic thread.
 */
public final class Gossiper {

    /** For how long an endpoint that is said to change is left alone, in milliseconds; it is said again meanwhile. */
    private static final long CHANGING_MILLIS = 700;

    /** The same between failure domains, in milliseconds, where rounds are longer. */
    private static final long FAR_CHANGING_MILLIS = 1_500;

    private final GossipParts parts;
    private final PeerView peers;
    private final BiConsumer<String, byte[]> send;
    private final GossipWriter writer;
    private final PeerCounts counts = new PeerCounts();
    private final LongConsumer endpointsChanged;
    private final Map<EndpointId, Long> nearAvoidedUntilMillis = new HashMap<>();
    private Collection<EndpointId> changing = List.of();

    /**
     * Makes a gossiper.
     *
     * @param send             sends a datagram to an address of host and port; it may be lost
     * @param endpointsChanged hears of a change of the endpoints that another daemon knows, by its offset in the store
     */
    public Gossiper(GossipParts parts, BiConsumer<String, byte[]> send, LongConsumer endpointsChanged) {
        this.parts = parts;
        this.endpointsChanged = endpointsChanged;
        this.peers = parts.peers();
        this.send = send;
        this.writer = new GossipWriter(parts);
    }

    /**
     * Takes a new list of daemons over.
     */
    public void apply(Collection<Daemon> daemons) {
        peers.apply(daemons, parts.clockMillis().getAsLong());
        daemons.stream().map(Daemon::id).filter(peer -> !peers.isNear(peer)).forEach(this::forget);
    }

    /**
     * Tells the next other daemons the present state, and forgets what silent ones had under way.
     */
    public void tell() {
        long now = parts.clockMillis().getAsLong();
        parts.agreed().advance(now, parts.wallMillis().getAsLong());
        byte[] own = writer.own(peers.near().steps(), avoided(now));
        peers.near().step().forEach(daemon -> {
            send.accept(daemon.peerAddress(), own);
            forgetIfSilent(daemon.id(), now);
        });
        List<Daemon> far = peers.far().step();
        far.forEach(daemon -> forgetIfSilent(domainOf(daemon.domain().value()), now));
        if (!far.isEmpty() && peers.isRelay(now)) {
            byte[] digest = writer.digest(peers.far().steps(), avoidedInDomain(now), now);
            far.forEach(daemon -> send.accept(daemon.peerAddress(), digest));
        }
        parts.accounts().share((double) peers.knownCount(now) / peers.count(), now);
    }

    /**
     * Takes over what another daemon tells.
     */
    public void heard(Gossip gossip) {
        InstanceId peer = new InstanceId(gossip.getInstance());
        if (peer.equals(parts.self().id())) {
            return;
        }
        if (writer.noteEndpointsChanged(gossip.getEndpointsChanged() - 1)) {
            endpointsChanged.accept(gossip.getEndpointsChanged() - 1);
        }
        if (!gossip.getDigestOf().isEmpty()) {
            heardDigest(peer, gossip);
        } else if (peers.isNear(peer)) {
            heardOwn(peer, gossip);
        }
    }

    private void heardOwn(InstanceId peer, Gossip gossip) {
        long now = parts.clockMillis().getAsLong();
        long born = gossip.getBornMillis();
        if (!peers.hear(peer, born, gossip.getSequence(), gossip.getReady(), now)) {
            return;
        }
        parts.agreed()
                .heard(peer, gossip.getWallMillis(), now, parts.wallMillis().getAsLong());
        for (AccountSpend spend : gossip.getSpendsList()) {
            parts.accounts().nearSpent(peer, born, new AccountId(spend.getAccount()), spend.getTokens(), now);
        }
        Life life = new Life(peer, born);
        for (WindowCount count : gossip.getCountsList()) {
            counts.told(life, count.getWindow(), new AccountId(count.getAccount()), count.getCount());
        }
        for (PoolReading reading : gossip.getReadingsList()) {
            parts.demands().near(peer, born, new PoolId(reading.getPool()), reading.getTokens());
        }
        gossip.getCrashesList().forEach(crash -> parts.suspects()
                .learnNear(new Fingerprint(crash.getFingerprint()), crash.getCrashes(), now));
        List<EndpointId> avoided =
                gossip.getChangingList().stream().map(EndpointId::new).toList();
        parts.fleet().avoid(avoided, now + CHANGING_MILLIS);
        avoided.forEach(endpoint -> nearAvoidedUntilMillis.put(endpoint, now + CHANGING_MILLIS));
        forget(peer);
        for (EngineLoad load : gossip.getLoadsList()) {
            EndpointState state = engine(load);
            if (state != null) {
                state.engine().peer(peer, load(load));
                state.nearSentParts(partsOf(load));
            }
        }
    }

    private void heardDigest(InstanceId relay, Gossip gossip) {
        long now = parts.clockMillis().getAsLong();
        InstanceId domain = domainOf(gossip.getDigestOf());
        boolean own = gossip.getDigestOf().equals(parts.self().domain().value());
        if (own || !peers.hear(sender(relay), gossip.getBornMillis(), gossip.getSequence(), true, now)) {
            return;
        }
        peers.hearOf(domain, true, now);
        peers.hearOf(relay, gossip.getReady(), now);
        for (HeardDaemon heard : gossip.getHeardList()) {
            peers.hearOf(new InstanceId(heard.getInstance()), heard.getReady(), now);
        }
        parts.agreed()
                .heard(relay, gossip.getWallMillis(), now, parts.wallMillis().getAsLong());
        // The sums of another relay start elsewhere, like those of another life.
        long life = gossip.getBornMillis() ^ relay.value().hashCode();
        for (AccountSpend spend : gossip.getSpendsList()) {
            parts.accounts().peerSpent(domain, life, new AccountId(spend.getAccount()), spend.getTokens(), now);
        }
        for (PoolReading reading : gossip.getReadingsList()) {
            parts.demands().peer(domain, life, new PoolId(reading.getPool()), reading.getTokens());
        }
        gossip.getCrashesList().forEach(crash -> parts.suspects()
                .learn(new Fingerprint(crash.getFingerprint()), crash.getCrashes(), now));
        parts.fleet()
                .avoid(gossip.getChangingList().stream().map(EndpointId::new).toList(), now + FAR_CHANGING_MILLIS);
        forget(domain);
        for (EngineLoad load : gossip.getLoadsList()) {
            EndpointState state = engine(load);
            if (state != null) {
                state.engine().peer(domain, load(load));
                state.engine().cache().sent(partsOf(load));
            }
        }
    }

    /**
     * Notes the newest change of the endpoints that this daemon has read, to tell others.
     */
    public void endpointsChangedAt(long offset) {
        writer.noteEndpointsChanged(offset);
    }

    /**
     * Tells what other daemons have told of their counts.
     */
    public Map<Long, Map<Life, Map<AccountId, Long>>> toldCounts() {
        return counts.copy();
    }

    /**
     * Sets the endpoints that change their role now.
     */
    public void changing(Collection<EndpointId> endpoints) {
        changing = List.copyOf(endpoints);
        parts.fleet().avoid(changing, parts.clockMillis().getAsLong() + CHANGING_MILLIS);
    }

    private Set<EndpointId> avoided(long nowMillis) {
        Set<EndpointId> avoided = new HashSet<>(changing);
        parts.fleet().all().stream()
                .filter(state -> state.isWarnedOf(nowMillis))
                .forEach(state -> avoided.add(state.endpoint().id()));
        return avoided;
    }

    private Set<EndpointId> avoidedInDomain(long nowMillis) {
        nearAvoidedUntilMillis.values().removeIf(until -> until <= nowMillis);
        Set<EndpointId> avoided = avoided(nowMillis);
        avoided.addAll(nearAvoidedUntilMillis.keySet());
        return avoided;
    }

    private EndpointState engine(EngineLoad load) {
        EndpointState state = parts.fleet().find(new EndpointId(load.getEndpoint()));
        return state == null || state.engine() == null ? null : state;
    }

    private static PeerLoad load(EngineLoad load) {
        return new PeerLoad(load.getRunning(), load.getHeldTokens(), load.getReadingTokens());
    }

    private static List<PromptPart> partsOf(EngineLoad load) {
        List<PromptPart> sent = new ArrayList<>();
        for (int index = 0; index < Math.min(load.getPartIdsCount(), load.getPartTokensCount()); index++) {
            sent.add(new PromptPart(load.getPartIds(index), load.getPartTokens(index)));
        }
        return sent;
    }

    private static InstanceId domainOf(String domain) {
        return new InstanceId("domain " + domain);
    }

    private static InstanceId sender(InstanceId relay) {
        return new InstanceId("relay " + relay.value());
    }

    private void forgetIfSilent(InstanceId peer, long nowMillis) {
        if (!peers.isHeard(peer, nowMillis)) {
            forget(peer);
        }
    }

    private void forget(InstanceId peer) {
        parts.fleet().all().stream().filter(state -> state.engine() != null).forEach(state -> state.engine()
                .peer(peer, new PeerLoad(0, 0, 0)));
    }
}
