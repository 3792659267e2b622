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
            next.put(member.incarnation(), known ? last : new ObservedRenewal(member.renewedOffset(), nowMillis));
        }
        observed.clear();
        observed.putAll(next);
    }

    /**
     * Tells which members may be declared gone.
     *
     * @param self      the observer, which is left out
     * @param nowMillis the present time
     * @return one statement for each member whose lease has ended for certain
     */
    public List<MemberGone> ended(Incarnation self, long nowMillis) {
        List<MemberGone> ended = new ArrayList<>();
        observed.forEach((incarnation, renewal) -> {
            if (!incarnation.equals(self) && nowMillis - renewal.firstReadMillis() >= waitMillis) {
                ended.add(new MemberGone(incarnation, renewal.offset()));
            }
        });
        return ended;
    }
}
