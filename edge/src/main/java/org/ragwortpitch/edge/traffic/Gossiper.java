package org.ragwortpitch.edge.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.ragwortpitch.clock.AgreedClock;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.deployment.PromptPart;
import org.ragwortpitch.edge.peer.GossipSocket;
import org.ragwortpitch.edge.peer.PeerView;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.ledger.Life;
import org.ragwortpitch.ledger.PeerCounts;
import org.ragwortpitch.ledger.WindowCounts;
import org.ragwortpitch.placement.PeerLoad;
import org.ragwortpitch.suspect.Fingerprint;
import org.ragwortpitch.wire.generated.GossipProtocol.AccountSpend;
import org.ragwortpitch.wire.generated.GossipProtocol.CrashedRequest;
import org.ragwortpitch.wire.generated.GossipProtocol.EngineLoad;
import org.ragwortpitch.wire.generated.GossipProtocol.Gossip;
import org.ragwortpitch.wire.generated.GossipProtocol.PoolReading;
import org.ragwortpitch.wire.generated.GossipProtocol.WindowCount;

/**
 * Tells the other daemons what this one has spent and has under way, and takes over what they tell. Confined to the
 * traffic thread.
 */
public final class Gossiper {

    /** For how long an endpoint that is said to change is left alone, in milliseconds; it is said again meanwhile. */
    private static final long CHANGING_MILLIS = 700;

    private final Daemon self;
    private final GossipSocket socket;
    private final PeerView peers;
    private final Fleet fleet;
    private final Accounts accounts;
    private final Demands demands;
    private final Suspects suspects;
    private final WindowCounts usage;
    private final PeerCounts counts = new PeerCounts();
    private final BooleanSupplier ready;
    private final AgreedClock agreed;
    private final LongSupplier clockMillis;
    private final LongSupplier wallMillis;
    private Collection<EndpointId> changing = List.of();
    private long sequence;

    /**
     * Makes a gossiper.
     *
     * @param ready      whether this daemon takes callers, as of now
     * @param agreed     learns what the clocks of others show
     * @param wallMillis this instance's wall clock, uncorrected
     */
    public Gossiper(
            Daemon self,
            GossipSocket socket,
            PeerView peers,
            Fleet fleet,
            Accounts accounts,
            Demands demands,
            Suspects suspects,
            WindowCounts usage,
            BooleanSupplier ready,
            AgreedClock agreed,
            LongSupplier clockMillis,
            LongSupplier wallMillis) {
        this.self = self;
        this.socket = socket;
        this.peers = peers;
        this.fleet = fleet;
        this.accounts = accounts;
        this.demands = demands;
        this.suspects = suspects;
        this.usage = usage;
        this.ready = ready;
        this.agreed = agreed;
        this.clockMillis = clockMillis;
        this.wallMillis = wallMillis;
    }

    /**
     * Tells the next other daemons the present state, and forgets what silent ones had under way.
     */
    public void tell() {
        long now = clockMillis.getAsLong();
        agreed.advance(now, wallMillis.getAsLong());
        byte[] datagram = message(peers.round().steps()).toByteArray();
        peers.round().step().forEach(daemon -> {
            socket.send(daemon.peerAddress(), datagram);
            if (!peers.isHeard(daemon.id(), now)) {
                forget(daemon.id());
            }
        });
        accounts.share((double) peers.heardCount(now) / peers.count(), now);
    }

    /**
     * Takes over what another daemon tells.
     */
    public void heard(Gossip gossip) {
        long now = clockMillis.getAsLong();
        InstanceId peer = new InstanceId(gossip.getInstance());
        if (peer.equals(self.id())
                || !peers.hear(peer, gossip.getBornMillis(), gossip.getSequence(), gossip.getReady(), now)) {
            return;
        }
        agreed.heard(peer, gossip.getWallMillis(), now, wallMillis.getAsLong());
        for (AccountSpend spend : gossip.getSpendsList()) {
            accounts.peerSpent(peer, gossip.getBornMillis(), new AccountId(spend.getAccount()), spend.getTokens(), now);
        }
        Life life = new Life(peer, gossip.getBornMillis());
        for (WindowCount count : gossip.getCountsList()) {
            counts.told(life, count.getWindow(), new AccountId(count.getAccount()), count.getCount());
        }
        for (PoolReading reading : gossip.getReadingsList()) {
            demands.peer(peer, gossip.getBornMillis(), new PoolId(reading.getPool()), reading.getTokens());
        }
        gossip.getCrashesList()
                .forEach(crash -> suspects.learn(new Fingerprint(crash.getFingerprint()), crash.getCrashes(), now));
        fleet.avoid(gossip.getChangingList().stream().map(EndpointId::new).toList(), now + CHANGING_MILLIS);
        forget(peer);
        gossip.getLoadsList().forEach(load -> apply(peer, load));
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
        fleet.avoid(changing, clockMillis.getAsLong() + CHANGING_MILLIS);
    }

    private void apply(InstanceId peer, EngineLoad load) {
        EndpointState state = fleet.find(new EndpointId(load.getEndpoint()));
        if (state == null || state.engine() == null) {
            return;
        }
        state.engine().peer(peer, new PeerLoad(load.getRunning(), load.getHeldTokens(), load.getReadingTokens()));
        List<PromptPart> parts = new ArrayList<>();
        for (int index = 0; index < Math.min(load.getPartIdsCount(), load.getPartTokensCount()); index++) {
            parts.add(new PromptPart(load.getPartIds(index), load.getPartTokens(index)));
        }
        state.engine().cache().sent(parts);
    }

    private void forget(InstanceId peer) {
        fleet.all().stream().filter(state -> state.engine() != null).forEach(state -> state.engine()
                .peer(peer, new PeerLoad(0, 0, 0)));
    }

    private Gossip message(int times) {
        Gossip.Builder gossip = Gossip.newBuilder()
                .setInstance(self.id().value())
                .setBornMillis(self.bornMillis())
                .setSequence(++sequence)
                .setReady(ready.getAsBoolean())
                .setWallMillis(wallMillis.getAsLong());
        accounts.eachSpent((account, tokens) -> gossip.addSpends(
                AccountSpend.newBuilder().setAccount(account.value()).setTokens(tokens)));
        usage.recent()
                .forEach(
                        (window, counts) -> counts.forEach((account, count) -> gossip.addCounts(WindowCount.newBuilder()
                                .setWindow(window)
                                .setAccount(account.value())
                                .setCount(count))));
        suspects.tell(
                times,
                (request, crashes) -> gossip.addCrashes(CrashedRequest.newBuilder()
                        .setFingerprint(request.value())
                        .setCrashes(crashes)));
        changing.forEach(endpoint -> gossip.addChanging(endpoint.value()));
        demands.eachOwn((pool, tokens) -> gossip.addReadings(
                PoolReading.newBuilder().setPool(pool.value()).setTokens(tokens)));
        fleet.all().forEach(state -> addLoad(gossip, state, times));
        return gossip.build();
    }

    private static void addLoad(Gossip.Builder gossip, EndpointState state, int times) {
        if (state.engine() == null) {
            return;
        }
        List<PromptPart> parts = state.sentParts(times);
        if (state.engine().ownRunning() == 0 && parts.isEmpty()) {
            return;
        }
        EngineLoad.Builder load = EngineLoad.newBuilder()
                .setEndpoint(state.endpoint().id().value())
                .setRunning(state.engine().ownRunning())
                .setHeldTokens(state.engine().ownHeldTokens())
                .setReadingTokens(state.engine().ownReadingTokens());
        parts.forEach(part -> load.addPartIds(part.id()).addPartTokens(part.tokens()));
        gossip.addLoads(load);
    }
}
