package org.ragwortpitch.edge.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * The other daemons: which are listed, and when each was last heard of. Confined to the traffic thread.
 */
public final class PeerView {

    /** A daemon that wasn't heard of for this long, in milliseconds, gets no callers: several lost datagrams. */
    private static final long SILENT_MILLIS = 1_500;

    /** The same where rounds are long, in rounds. */
    private static final int SILENT_ROUNDS = 4;

    /** How long a datagram may be under way, in milliseconds; an instance takes longer to start anew. */
    private static final long UNDER_WAY_MILLIS = 1_000;

    private final Map<InstanceId, Heard> heard = new HashMap<>();
    private final GossipRound round = new GossipRound();
    private Map<InstanceId, Daemon> listed = new HashMap<>();

    /**
     * Takes a new list over.
     */
    public void apply(Collection<Daemon> daemons) {
        Map<InstanceId, Daemon> next = new HashMap<>();
        daemons.forEach(daemon -> next.put(daemon.id(), daemon));
        listed = next;
        round.apply(daemons);
    }

    /**
     * Notes what a daemon said.
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

    /** The clock may have been set back between two lives, so their order shows only while the first may be under way. */
    private static boolean isOlder(long bornMillis, long sequence, long nowMillis, Heard before) {
        return before.bornMillis() == bornMillis
                ? before.sequence() >= sequence
                : before.bornMillis() > bornMillis && nowMillis - before.atMillis() <= UNDER_WAY_MILLIS;
    }

    /**
     * Tells the daemons to tell something next, and how often each datagram's news are told.
     */
    public GossipRound round() {
        return round;
    }

    /**
     * Counts the daemons that are listed, with this one.
     */
    public int count() {
        return listed.size() + 1;
    }

    /**
     * Counts the daemons that are heard of, with this one.
     */
    public int heardCount(long nowMillis) {
        return 1
                + (int) listed.keySet().stream()
                        .filter(id -> isHeard(id, nowMillis))
                        .count();
    }

    /**
     * Tells whether a daemon was heard of lately.
     */
    public boolean isHeard(InstanceId peer, long nowMillis) {
        Heard last = heard.get(peer);
        return last != null && nowMillis - last.atMillis() <= silentMillis();
    }

    private long silentMillis() {
        return Math.max(SILENT_MILLIS, SILENT_ROUNDS * round.millis());
    }

    /**
     * Tells the daemons that take callers, those of a failure domain first.
     */
    public List<Daemon> ready(FailureDomain domain, long nowMillis) {
        return listed.values().stream()
                .filter(daemon -> isHeard(daemon.id(), nowMillis)
                        && heard.get(daemon.id()).ready())
                .sorted((one, other) -> Boolean.compare(
                        other.domain().equals(domain), one.domain().equals(domain)))
                .toList();
    }

    /**
     * The last word of a daemon.
     */
    private record Heard(long bornMillis, long sequence, boolean ready, long atMillis) {}
}
