package org.ragwortpitch.edge.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortpitch.contact.ProxyPeer;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.membership.StoreReaders;

/**
 * The other daemons: which are listed, which are direct gossip peers, and when the last gossip about each was received.
 * In a small fleet, all daemons are direct peers. In a larger one, only those of the same failure domain are, and one
 * of them, the reachable one whose name sorts first, relays a digest of its whole domain's load to the other domains.
 * Confined to the traffic thread.
 */
public final class PeerView {

    /** Age of the last gossip, in milliseconds, up to which a daemon gets callers; tolerates several lost datagrams. */
    private static final long REACHABLE_MILLIS = 1_500;

    /** The same in rounds, for long rounds. */
    private static final int REACHABLE_ROUNDS = 4;

    /** Age of the last gossip, in rounds, up to which a daemon's spending counts as known: two lost datagrams. */
    private static final int KNOWN_ROUNDS = 3;

    /** Longest transit time of a datagram, in milliseconds; an instance takes longer to restart. */
    private static final long MAX_TRANSIT_MILLIS = 1_000;

    /** Largest fleet in which all daemons are direct peers; exceeds the users' seven daemons and those they add. */
    private static final int MAX_DIRECT_FLEET = 20;

    /** Silence after which an unlisted daemon no longer counts, in milliseconds: longer than the window of a budget. */
    private static final long UNLISTED_MILLIS = 30_000;

    /** Shortest round of gossip to direct peers, in milliseconds. */
    private static final long DIRECT_ROUND_MILLIS = 200;

    /** Most datagrams to direct peers a second: at 1 KB each, 1.2 Mbit/s of the slowest link's 7 Mbit/s. */
    private static final int DIRECT_DATAGRAMS_PER_SECOND = 150;

    /** Shortest round of gossip between failure domains, in milliseconds; traffic between them is expensive. */
    private static final long CROSS_DOMAIN_ROUND_MILLIS = 500;

    /** Most datagrams to other domains a second: at 3 KB each, as much traffic as to direct peers. */
    private static final int CROSS_DOMAIN_DATAGRAMS_PER_SECOND = 60;

    /** Time after its start within which a daemon hears others if there are any, in milliseconds: two rounds. */
    private static final long FIRST_GOSSIP_MILLIS = 2_000;

    private final InstanceId self;
    private final FailureDomain domain;
    private final int maxDirectFleet;
    private final Map<InstanceId, LastSeen> lastSeen = new HashMap<>();
    private final GossipRound directRound = new GossipRound(DIRECT_ROUND_MILLIS, DIRECT_DATAGRAMS_PER_SECOND);
    private final GossipRound crossDomainRound =
            new GossipRound(CROSS_DOMAIN_ROUND_MILLIS, CROSS_DOMAIN_DATAGRAMS_PER_SECOND);
    private Map<InstanceId, Daemon> listed = new HashMap<>();
    private boolean applied;
    private final Map<InstanceId, Long> unlistedMillis = new HashMap<>();
    private final Map<InstanceId, Long> listedMillis = new HashMap<>();
    private Set<InstanceId> directIds = Set.of();

    /**
     * Creates a view without other daemons.
     */
    public PeerView(InstanceId self, FailureDomain domain) {
        this(self, domain, MAX_DIRECT_FLEET);
    }

    /**
     * Creates a view without other daemons.
     *
     * @param maxDirectFleet largest fleet, including this daemon, in which all daemons are direct peers
     */
    public PeerView(InstanceId self, FailureDomain domain, int maxDirectFleet) {
        this.self = self;
        this.domain = domain;
        this.maxDirectFleet = maxDirectFleet;
    }

    /**
     * Replaces the listed daemons.
     */
    public void apply(Collection<Daemon> daemons, long nowMillis) {
        Map<InstanceId, Daemon> next = new HashMap<>();
        daemons.forEach(daemon -> next.put(daemon.id(), daemon));
        listed = next;
        unlistedMillis.keySet().removeAll(listed.keySet());
        applied = true;
        daemons.forEach(daemon -> listedMillis.putIfAbsent(daemon.id(), nowMillis));
        boolean direct = count() <= maxDirectFleet;
        Map<Boolean, List<Daemon>> byDirect = daemons.stream()
                .collect(Collectors.partitioningBy(
                        daemon -> direct || daemon.domain().equals(domain)));
        directRound.apply(byDirect.get(true));
        crossDomainRound.apply(byDirect.get(false));
        directIds = byDirect.get(true).stream().map(Daemon::id).collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Records gossip that a daemon sent about itself or, under a separate name, about its failure domain.
     *
     * @return whether it is the newest gossip of the daemon's current incarnation; false if it must be ignored
     */
    public boolean recordGossip(InstanceId peer, long startMillis, long sequence, PeerStatus status, long nowMillis) {
        LastSeen before = lastSeen.get(peer);
        if (before != null && isOutdated(startMillis, sequence, nowMillis, before)) {
            return false;
        }
        lastSeen.put(peer, new LastSeen(startMillis, sequence, status, nowMillis, nowMillis));
        return true;
    }

    /**
     * Records that a daemon of another failure domain is reachable there; ignored for direct peers. The status counts
     * unless a newer one is known.
     *
     * @param ageMillis the time since the relay heard from the daemon, in milliseconds; negative ones count as 0
     */
    public void recordRelayedState(InstanceId peer, PeerStatus status, long ageMillis, long nowMillis) {
        long heardMillis = nowMillis - Math.max(0, ageMillis);
        LastSeen before = lastSeen.get(peer);
        boolean newest = before == null || before.heardMillis() <= heardMillis;
        if (!isDirect(peer)) {
            lastSeen.put(
                    peer,
                    new LastSeen(
                            0,
                            0,
                            newest ? status : before.status(),
                            nowMillis,
                            newest ? heardMillis : before.heardMillis()));
        }
    }

    /**
     * Returns the time since a daemon last gossiped, to this one or to the relay that told of it, in milliseconds;
     * {@link Long#MAX_VALUE} if nothing was heard of it.
     */
    public long ageMillis(InstanceId peer, long nowMillis) {
        LastSeen last = lastSeen.get(peer);
        return last == null ? Long.MAX_VALUE : nowMillis - last.heardMillis();
    }

    /**
     * Returns the schedule of gossip to direct peers.
     */
    public GossipRound directRound() {
        return directRound;
    }

    /**
     * Returns the schedule of digests to daemons of other failure domains.
     */
    public GossipRound crossDomainRound() {
        return crossDomainRound;
    }

    /**
     * Returns whether a daemon is a direct peer.
     */
    public boolean isDirect(InstanceId peer) {
        return directIds.contains(peer);
    }

    /**
     * Returns whether this daemon relays its failure domain's digest to the other domains.
     */
    public boolean isRelay(long nowMillis) {
        return directIds.size() < listed.size()
                && directIds.stream()
                        .noneMatch(peer -> peer.value().compareTo(self.value()) < 0 && isReachable(peer, nowMillis));
    }

    /**
     * Returns the reachable direct peers with what they tell of themselves.
     */
    public Map<InstanceId, PeerStatus> reachableDirect(long nowMillis) {
        return directIds.stream()
                .filter(peer -> isReachable(peer, nowMillis))
                .collect(Collectors.toMap(
                        peer -> peer, peer -> lastSeen.get(peer).status()));
    }

    /**
     * Returns the number of listed daemons, including this one.
     */
    public int count() {
        return listed.size() + 1;
    }

    /**
     * Records gossip of a daemon that is not listed yet, such as one that joined while the store was out of reach. It
     * counts for the fleet's size until it is listed, or silent for a while.
     */
    public void recordUnlisted(InstanceId peer, long nowMillis) {
        if (!listed.containsKey(peer)) {
            unlistedMillis.put(peer, nowMillis);
        }
    }

    /**
     * Returns the number of daemons in the fleet, including this one; empty until the other daemons were listed.
     */
    public OptionalInt fleetSize(long nowMillis) {
        unlistedMillis.values().removeIf(heardMillis -> nowMillis - heardMillis > UNLISTED_MILLIS);
        return applied ? OptionalInt.of(count() + unlistedMillis.size()) : OptionalInt.empty();
    }

    /**
     * Returns the daemons of the fleet, including this one; empty until the other daemons were listed.
     */
    public Optional<Collection<InstanceId>> daemons(long nowMillis) {
        if (fleetSize(nowMillis).isEmpty()) {
            return Optional.empty();
        }
        Set<InstanceId> daemons = new HashSet<>(listed.keySet());
        daemons.addAll(unlistedMillis.keySet());
        daemons.add(self);
        return Optional.of(daemons);
    }

    /**
     * Returns the number of daemons whose spending is known, including this one: those whose gossip was received, or
     * that were first listed, within the last three rounds.
     */
    public int knownCount(long nowMillis) {
        return 1
                + (int) listed.keySet().stream()
                        .filter(id -> isKnown(id, nowMillis))
                        .count();
    }

    private boolean isKnown(InstanceId peer, long nowMillis) {
        long withinMillis = KNOWN_ROUNDS * roundFor(peer).durationMillis();
        return isSeenWithin(peer, withinMillis, nowMillis)
                || nowMillis - listedMillis.getOrDefault(peer, 0L) <= withinMillis;
    }

    /**
     * Returns whether gossip about a daemon was received recently enough for it to get callers.
     */
    public boolean isReachable(InstanceId peer, long nowMillis) {
        return isSeenWithin(
                peer,
                Math.max(REACHABLE_MILLIS, REACHABLE_ROUNDS * roundFor(peer).durationMillis()),
                nowMillis);
    }

    private boolean isSeenWithin(InstanceId peer, long withinMillis, long nowMillis) {
        LastSeen last = lastSeen.get(peer);
        return last != null && nowMillis - last.atMillis() <= withinMillis;
    }

    private GossipRound roundFor(InstanceId peer) {
        return isDirect(peer) ? directRound : crossDomainRound;
    }

    /**
     * The wall clock may have been set back between two incarnations, so their start times are compared only as long as
     * datagrams of the first can still be in transit.
     */
    private static boolean isOutdated(long startMillis, long sequence, long nowMillis, LastSeen before) {
        return before.startMillis() == startMillis
                ? before.sequence() >= sequence
                : before.startMillis() > startMillis && nowMillis - before.atMillis() <= MAX_TRANSIT_MILLIS;
    }

    /**
     * Returns the daemons that take callers, those of a preferred failure domain first.
     */
    public List<Daemon> ready(FailureDomain preferred, long nowMillis) {
        Stream<Daemon> ready =
                reachable(nowMillis).filter(daemon -> status(daemon).ready());
        return ready.sorted((one, other) -> Boolean.compare(
                        other.domain().equals(preferred), one.domain().equals(preferred)))
                .toList();
    }

    /**
     * Returns the other daemons of this failure domain that take callers.
     */
    public Set<InstanceId> readyInDomain(long nowMillis) {
        return reachable(nowMillis)
                .filter(daemon ->
                        daemon.domain().equals(domain) && status(daemon).ready())
                .map(Daemon::id)
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether this daemon reads the store closely on behalf of all.
     *
     * @param aliveMillis how long this daemon has run, in milliseconds
     */
    public boolean isStoreReader(long aliveMillis, long nowMillis) {
        List<Daemon> heard = reachable(nowMillis).toList();
        if (heard.isEmpty() && !listed.isEmpty() && aliveMillis < FIRST_GOSSIP_MILLIS) {
            return false;
        }
        return StoreReaders.includes(
                new StoreReaders.Candidate(self, domain),
                heard.stream()
                        .filter(daemon ->
                                status(daemon).ready() && status(daemon).store().reachable())
                        .map(daemon -> new StoreReaders.Candidate(daemon.id(), daemon.domain()))
                        .toList());
    }

    private Stream<Daemon> reachable(long nowMillis) {
        return listed.values().stream().filter(daemon -> isReachable(daemon.id(), nowMillis));
    }

    /**
     * Returns what a reachable daemon last told of itself.
     */
    public PeerStatus status(Daemon daemon) {
        return lastSeen.get(daemon.id()).status();
    }

    /**
     * Returns the daemons that take requests which this one can't serve, and reach endpoints of their pool.
     *
     * @param domains the failure domains whose daemons may get the request
     * @param passed  returns how many requests of this daemon a daemon is handling
     */
    public List<ProxyPeer> proxies(
            PoolId pool, Predicate<FailureDomain> domains, ToIntFunction<InstanceId> passed, long nowMillis) {
        return reachable(nowMillis)
                .filter(daemon -> status(daemon).proxies(pool) && domains.test(daemon.domain()))
                .map(daemon -> new ProxyPeer(
                        daemon.id(),
                        host(daemon.peerAddress()) + ":" + status(daemon).proxyPort(),
                        daemon.domain().equals(domain),
                        passed.applyAsInt(daemon.id())))
                .toList();
    }

    /**
     * Returns whether any other daemon that takes callers reaches endpoints of some pool.
     *
     * @param pools the pools that have endpoints
     */
    public boolean anyInContact(Set<PoolId> pools, long nowMillis) {
        return reachable(nowMillis)
                .anyMatch(daemon -> status(daemon).ready() && !status(daemon).isCutOff(pools));
    }

    private static String host(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * State and time of the last gossip about a daemon.
     *
     * @param atMillis    when this daemon received it
     * @param heardMillis when this daemon, or the relay that told of it, received it from the daemon itself
     */
    private record LastSeen(long startMillis, long sequence, PeerStatus status, long atMillis, long heardMillis) {}
}
