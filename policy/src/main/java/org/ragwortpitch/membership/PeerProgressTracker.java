package org.ragwortpitch.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.identity.Incarnation;

/**
 * Tracks the recent progress of other members. A daemon that cannot reach the log may still know that it has not missed
 * anything: a change is accepted only once some member has read it, so a daemon that has applied as much as every other
 * member is as current as when it queried them. Confined to one thread; times are of the process's monotonic clock.
 */
public final class PeerProgressTracker {

    /** The answer to the newest query of each member. */
    private final Map<Incarnation, PeerProgress> latest = new HashMap<>();

    /** Records a member's answer, unless an answer to a newer query is known. */
    public void record(PeerProgress progress) {
        latest.merge(
                progress.member(),
                progress,
                (old, fresh) -> fresh.queriedMillis() >= old.queriedMillis() ? fresh : old);
    }

    /** Drops the answers of those that are no longer members. */
    public void retain(Collection<Incarnation> members) {
        latest.keySet().retainAll(members);
    }

    /**
     * Returns the latest time at which a member in touch with the log had nothing that is not applied here.
     *
     * @param appliedOffset the log offset applied here
     * @return the time; {@link Long#MIN_VALUE} if no answer shows it
     */
    public long contactMillis(long appliedOffset) {
        return latest.values().stream()
                .filter(progress -> progress.appliedOffset() <= appliedOffset)
                .mapToLong(PeerProgress::contactMillis)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the latest time at which no member had anything that is not applied here, whether or not the members
     * could reach the log.
     *
     * @param self          this member
     * @param members       the members
     * @param appliedOffset the log offset applied here
     * @return the time; {@link Long#MIN_VALUE} if a member has not answered or has applied more, or if there are no
     * others
     */
    public long upToDateMillis(Incarnation self, Collection<Member> members, long appliedOffset) {
        long earliestMillis = Long.MAX_VALUE;
        for (Member member : members) {
            if (member.incarnation().equals(self)) {
                continue;
            }
            PeerProgress progress = latest.get(member.incarnation());
            if (progress == null || progress.appliedOffset() > appliedOffset) {
                return Long.MIN_VALUE;
            }
            earliestMillis = Math.min(earliestMillis, progress.queriedMillis());
        }
        return earliestMillis == Long.MAX_VALUE ? Long.MIN_VALUE : earliestMillis;
    }

    /**
     * Returns until when no member will evict this one, according to the promises of all of them.
     *
     * @param self      this member
     * @param members   the members
     * @param ttlMillis how long a promise holds, in milliseconds
     * @return the time; {@link Long#MIN_VALUE} if a member has not promised, or if there are no others
     */
    public long promisedUntilMillis(Incarnation self, Collection<Member> members, long ttlMillis) {
        long earliestMillis = Long.MAX_VALUE;
        for (Member member : members) {
            if (member.incarnation().equals(self)) {
                continue;
            }
            PeerProgress progress = latest.get(member.incarnation());
            if (progress == null || !progress.promised()) {
                return Long.MIN_VALUE;
            }
            earliestMillis = Math.min(earliestMillis, progress.queriedMillis());
        }
        return earliestMillis == Long.MAX_VALUE ? Long.MIN_VALUE : earliestMillis + ttlMillis;
    }

    /**
     * Returns whether some member has applied more than this one.
     *
     * @param appliedOffset the log offset applied here
     */
    public boolean isBehind(long appliedOffset) {
        return latest.values().stream().anyMatch(progress -> progress.appliedOffset() > appliedOffset);
    }
}
