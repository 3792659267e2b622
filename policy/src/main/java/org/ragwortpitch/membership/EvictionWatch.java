package org.ragwortpitch.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.MemberGone;

/**
 * Watches the leases of other members. A lease counts from when its renewal was first read here, which is never
 * earlier than when it was sent. Confined to one thread; times are of the process's monotonic clock.
 */
public final class EvictionWatch {

    /**
     * How long to wait after first reading a renewal, in milliseconds.
     */
    private final long waitMillis;

    /**
     * How long a newcomer waits before it evicts a member that has never taken note of it, in milliseconds. Such a
     * member may be kept in by the word of others.
     */
    private final long newcomerWaitMillis;

    /**
     * Until when this daemon has given its word not to evict a member.
     */
    private final Map<Incarnation, Long> promisedUntilMillis = new HashMap<>();

    /**
     * The newest renewal seen of each member.
     */
    private final Map<Incarnation, ObservedRenewal> observed = new HashMap<>();

    /**
     * Makes a watch that has seen nothing.
     *
     * @param timing the times of the lease
     */
    public EvictionWatch(LeaseTiming timing) {
        this.waitMillis = timing.observerWaitMillis();
        this.newcomerWaitMillis = timing.newcomerWaitMillis();
    }

    /**
     * Takes the members as they are now.
     *
     * @param members   the members
     * @param nowMillis the present time
     */
    public void observe(Collection<Member> members, long nowMillis) {
        Map<Incarnation, ObservedRenewal> next = new HashMap<>();
        for (Member member : members) {
            ObservedRenewal last = observed.get(member.incarnation());
            boolean known = last != null && last.offset() == member.renewedOffset();
            ObservedRenewal fresh = new ObservedRenewal(member.renewedOffset(), member.acknowledgedOffset(), nowMillis);
            next.put(member.incarnation(), known ? last : fresh);
        }
        observed.clear();
        observed.putAll(next);
        promisedUntilMillis.keySet().retainAll(next.keySet());
    }

    /**
     * Gives a member the word that it will not be evicted for the length of a lease.
     *
     * @param member    the member
     * @param nowMillis the present time
     */
    public void promise(Incarnation member, long nowMillis) {
        promisedUntilMillis.merge(member, nowMillis + waitMillis, Math::max);
    }

    /**
     * Tells which members may be declared gone.
     *
     * @param self         the observer, which is left out
     * @param joinedOffset the offset of the observer's join
     * @param nowMillis    the present time
     * @return one statement for each member whose lease has ended for certain
     */
    public List<MemberGone> ended(Incarnation self, long joinedOffset, long nowMillis) {
        List<MemberGone> ended = new ArrayList<>();
        observed.forEach((incarnation, renewal) -> {
            long wait = renewal.acknowledgedOffset() >= joinedOffset ? waitMillis : newcomerWaitMillis;
            boolean over = nowMillis - renewal.firstReadMillis() >= wait;
            boolean promised = nowMillis < promisedUntilMillis.getOrDefault(incarnation, Long.MIN_VALUE);
            if (!incarnation.equals(self) && over && !promised) {
                ended.add(new MemberGone(incarnation, renewal.offset()));
            }
        });
        return ended;
    }
}
