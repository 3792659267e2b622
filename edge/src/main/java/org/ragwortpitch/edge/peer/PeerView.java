package org.ragwortpitch.edge.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * The other daemons: which are listed, which are told directly, and when each was last heard of. In a small fleet all
 * are told directly. In a larger one these are the daemons of the own failure domain, and one of them, the first by
 * name that is heard of, tells those of other domains what all of its domain have under way. Confined to the traffic
 * thread.
 */
public final class PeerView {

    /** A daemon that wasn't heard of for this long, in milliseconds, gets no callers: several lost datagrams. */
    private static final long SILENT_MILLIS = 1_500;

    /** The same where rounds are long, in rounds. */
    private static final int SILENT_ROUNDS = 4;

    /** After so many rounds without a word a daemon may be spending what others can't know of: two lost datagrams. */
    private static final int UNKNOWN_ROUNDS = 3;

    /** How long a datagram may be under way, in milliseconds; an instance takes longer to start anew. */
    private static final long UNDER_WAY_MILLIS = 1_000;

    /** The largest fleet whose daemons tell each other directly: some more than the users' present seven and added. */
    private static final int MOST_DIRECT = 20;

    /** The shortest round of what is told directly, in milliseconds. */
    private static final long NEAR_MILLIS = 200;

    /** What is told directly, in datagrams a second: 1 KB each, 1.2 Mbit/s of the slowest link of 7 Mbit/s. */
    private static final int NEAR_PER_SECOND = 150;

    /** The shortest round between failure domains, in milliseconds: bytes between them are dear. */
    private static final long FAR_MILLIS = 500;

    /** What is told to other domains, in datagrams a second: 3 KB each, as much as what is told directly. */
    private static final int FAR_PER_SECOND = 60;

    private final InstanceId self;
    private final FailureDomain domain;
    private final int mostDirect;
    private final Map<InstanceId, Heard> heard = new HashMap<>();
    private final GossipRound near = new GossipRound(NEAR_MILLIS, NEAR_PER_SECOND);
    private final GossipRound far = new GossipRound(FAR_MILLIS, FAR_PER_SECOND);
    private Map<InstanceId, Daemon> listed = new HashMap<>();
    private final Map<InstanceId, Long> listedMillis = new HashMap<>();
    private Set<InstanceId> nearIds = Set.of();

    /**
     * Knows no other daemon yet.
     */
    public PeerView(InstanceId self, FailureDomain domain) {
        this(self, domain, MOST_DIRECT);
    }

    /**
     * Knows no other daemon yet.
     *
     * @param mostDirect the largest fleet whose daemons tell each other directly
     */
    public PeerView(InstanceId self, FailureDomain domain, int mostDirect) {
        this.self = self;
        this.domain = domain;
        this.mostDirect = mostDirect;
    }

    /**
     * Takes a new list over.
     */
    public void apply(Collection<Daemon> daemons, long nowMillis) {
        Map<InstanceId, Daemon> next = new HashMap<>();
        daemons.forEach(daemon -> next.put(daemon.id(), daemon));
        listed = next;
        daemons.forEach(daemon -> listedMillis.putIfAbsent(daemon.id(), nowMillis));
        boolean direct = count() <= mostDirect;
        Map<Boolean, List<Daemon>> byNearness = daemons.stream()
                .collect(Collectors.partitioningBy(
                        daemon -> direct || daemon.domain().equals(domain)));
        near.apply(byNearness.get(true));
        far.apply(byNearness.get(false));
        nearIds = byNearness.get(true).stream().map(Daemon::id).collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Notes what a daemon said of itself or, under a name of its own, of its failure domain.
     *
     * @return whether it is the newest word of that daemon's present life
     */
    public boolean hear(InstanceId peer, long bornMillis, long sequence, boolean ready, long nowMillis) {
        Heard before = heard.get(peer);
        if (before != null && isOlder(bornMillis, sequence, nowMillis, before)) {
            return false;
        }
        heard.put(peer, new Heard(bornMillis, sequence, ready, nowMillis));
        return true;
    }

    /**
     * Notes that a daemon of another failure domain is heard of there.
     */
    public void hearOf(InstanceId peer, boolean ready, long nowMillis) {
        if (!isNear(peer)) {
            heard.put(peer, new Heard(0, 0, ready, nowMillis));
        }
    }

    /**
     * Tells the daemons that are told directly.
     */
    public GossipRound near() {
        return near;
    }

    /**
     * Tells the daemons that are told of this failure domain as a whole.
     */
    public GossipRound far() {
        return far;
    }

    /**
     * Tells whether a daemon is told directly and tells this one.
     */
    public boolean isNear(InstanceId peer) {
        return nearIds.contains(peer);
    }

    /**
     * Tells whether it is for this daemon to tell other failure domains of its own.
     */
    public boolean isRelay(long nowMillis) {
        return nearIds.size() < listed.size()
                && nearIds.stream()
                        .noneMatch(peer -> peer.value().compareTo(self.value()) < 0 && isHeard(peer, nowMillis));
    }

    /**
     * Tells the daemons that are told directly and heard of, and whether they take callers.
     */
    public Map<InstanceId, Boolean> nearHeard(long nowMillis) {
        return nearIds.stream()
                .filter(peer -> isHeard(peer, nowMillis))
                .collect(Collectors.toMap(peer -> peer, peer -> heard.get(peer).ready()));
    }

    /**
     * Counts the daemons that are listed, with this one.
     */
    public int count() {
        return listed.size() + 1;
    }

    /**
     * Counts the daemons whose spending is known, with this one: those heard of, or listed first, in the last three
     * rounds.
     */
    public int knownCount(long nowMillis) {
        return 1
                + (int) listed.keySet().stream()
                        .filter(id -> isKnown(id, nowMillis))
                        .count();
    }

    private boolean isKnown(InstanceId peer, long nowMillis) {
        long withinMillis = UNKNOWN_ROUNDS * roundOf(peer).millis();
        return isHeardWithin(peer, withinMillis, nowMillis)
                || nowMillis - listedMillis.getOrDefault(peer, 0L) <= withinMillis;
    }

    /**
     * Tells whether a daemon was heard of lately.
     */
    public boolean isHeard(InstanceId peer, long nowMillis) {
        return isHeardWithin(
                peer, Math.max(SILENT_MILLIS, SILENT_ROUNDS * roundOf(peer).millis()), nowMillis);
    }

    private boolean isHeardWithin(InstanceId peer, long withinMillis, long nowMillis) {
        Heard last = heard.get(peer);
        return last != null && nowMillis - last.atMillis() <= withinMillis;
    }

    private GossipRound roundOf(InstanceId peer) {
        return isNear(peer) ? near : far;
    }

    /**
     * The clock may have been set back between two lives, so their order shows only while the first may be under way.
     */
    private static boolean isOlder(long bornMillis, long sequence, long nowMillis, Heard before) {
        return before.bornMillis() == bornMillis
                ? before.sequence() >= sequence
                : before.bornMillis() > bornMillis && nowMillis - before.atMillis() <= UNDER_WAY_MILLIS;
    }

    /**
     * Tells the daemons that take callers, those of a failure domain first.
     */
    public List<Daemon> ready(FailureDomain callers, long nowMillis) {
        Stream<Daemon> ready = listed.values().stream()
                .filter(daemon -> isHeard(daemon.id(), nowMillis)
                        && heard.get(daemon.id()).ready());
        return ready.sorted((one, other) -> Boolean.compare(
                        other.domain().equals(callers), one.domain().equals(callers)))
                .toList();
    }

    /**
     * The last word of a daemon.
     */
    private record Heard(long bornMillis, long sequence, boolean ready, long atMillis) {}
}
