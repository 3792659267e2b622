package org.ragwortpitch.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.controllog.MemberGone;
import org.ragwortpitch.identity.Incarnation;

/**
 * Decides when the leases of other members have expired. A lease counts from when this daemon first read its renewal,
 * which is never earlier than when the renewal was sent. Confined to one thread; times are of the process's monotonic
 * clock.
 */
public final class EvictionWatch {

    /** How long after first reading a renewal the member can be evicted, in milliseconds. */
    private final long waitMillis;

    /**
     * How long a newcomer waits before it evicts a member that has never acknowledged the newcomer's join, in
     * milliseconds. Such a member may rely on the eviction promises of the members that it knows.
     */
    private final long newcomerWaitMillis;

    /** Until when this daemon has promised not to evict a member. */
    private final Map<Incarnation, Long> promisedUntilMillis = new HashMap<>();

    /** The newest renewal read of each member. */
    private final Map<Incarnation, ObservedRenewal> observed = new HashMap<>();

    /** Creates a watch that has observed no renewals. */
    public EvictionWatch(LeaseTiming timing) {
        this.waitMillis = timing.observerWaitMillis();
        this.newcomerWaitMillis = timing.newcomerWaitMillis();
    }

    /** Records the members' newest renewals, and drops members that are gone. */
    public void observe(Collection<Member> members, long nowMillis) {
        Map<Incarnation, ObservedRenewal> next = new HashMap<>();
        for (Member member : members) {
            ObservedRenewal previous = observed.get(member.incarnation());
            boolean unchanged = previous != null && previous.offset() == member.renewedOffset();
            ObservedRenewal current =
                    new ObservedRenewal(member.renewedOffset(), member.acknowledgedOffset(), nowMillis);
            next.put(member.incarnation(), unchanged ? previous : current);
        }
        observed.clear();
        observed.putAll(next);
        promisedUntilMillis.keySet().retainAll(next.keySet());
    }

    /** Promises that this daemon will not evict a member within {@link LeaseTiming#observerWaitMillis} from now. */
    public void promise(Incarnation member, long nowMillis) {
        promisedUntilMillis.merge(member, nowMillis + waitMillis, Math::max);
    }

    /**
     * Returns an eviction entry for each member whose lease has certainly expired.
     *
     * @param self         this daemon, which is left out
     * @param joinedOffset the log offset of this daemon's join
     * @param nowMillis    the current time
     */
    public List<MemberGone> expired(Incarnation self, long joinedOffset, long nowMillis) {
        List<MemberGone> ended = new ArrayList<>();
        observed.forEach((incarnation, renewal) -> {
            long requiredWaitMillis = renewal.acknowledgedOffset() >= joinedOffset ? waitMillis : newcomerWaitMillis;
            boolean expired = nowMillis - renewal.firstReadMillis() >= requiredWaitMillis;
            boolean promised = nowMillis < promisedUntilMillis.getOrDefault(incarnation, Long.MIN_VALUE);
            if (!incarnation.equals(self) && expired && !promised) {
                ended.add(new MemberGone(incarnation, renewal.offset()));
            }
        });
        return ended;
    }
}
