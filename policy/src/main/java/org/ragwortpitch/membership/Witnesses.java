package org.ragwortpitch.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.ragwortpitch.identity.Incarnation;

/**
 * What other members have said lately. A daemon that cannot reach the log itself may still know that it misses nothing:
 * a change is accepted only once some member has read it, so a daemon that has applied as much as every other member is
 * as recent as the moment at which it asked them. Confined to one thread; times are of the process's monotonic clock.
 */
public final class Witnesses {

    /**
     * The newest word of each member.
     */
    private final Map<Incarnation, Witness> latest = new HashMap<>();

    /**
     * Takes a member's word.
     *
     * @param witness the word
     */
    public void heard(Witness witness) {
        latest.merge(witness.member(), witness, (old, fresh) -> fresh.askedMillis() >= old.askedMillis() ? fresh : old);
    }

    /**
     * Forgets those who are no longer members.
     *
     * @param members the members
     */
    public void retain(Collection<Incarnation> members) {
        latest.keySet().retainAll(members);
    }

    /**
     * Tells since when some member in touch with the log has had nothing that is not applied here.
     *
     * @param appliedOffset how far the log was applied here
     * @return the time; the beginning of time if no member's word says so
     */
    public long contactMillis(long appliedOffset) {
        return latest.values().stream()
                .filter(witness -> witness.appliedOffset() <= appliedOffset)
                .mapToLong(Witness::contactMillis)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Tells since when no member has had anything that is not applied here, whether in touch with the log or not.
     *
     * @param self          this member
     * @param members       the members
     * @param appliedOffset how far the log was applied here
     * @return the time; the beginning of time if any member's word is missing or it has applied more
     */
    public long agreedMillis(Incarnation self, Collection<Member> members, long appliedOffset) {
        long agreed = Long.MAX_VALUE;
        for (Member member : members) {
            if (member.incarnation().equals(self)) {
                continue;
            }
            Witness witness = latest.get(member.incarnation());
            if (witness == null || witness.appliedOffset() > appliedOffset) {
                return Long.MIN_VALUE;
            }
            agreed = Math.min(agreed, witness.askedMillis());
        }
        return agreed == Long.MAX_VALUE ? Long.MIN_VALUE : agreed;
    }

    /**
     * Tells until when no member will evict this one, by the word of all of them.
     *
     * @param self      this member
     * @param members   the members
     * @param ttlMillis for how long a word holds, in milliseconds
     * @return the time; the beginning of time if any member's word is missing
     */
    public long promisedMillis(Incarnation self, Collection<Member> members, long ttlMillis) {
        long asked = Long.MAX_VALUE;
        for (Member member : members) {
            if (member.incarnation().equals(self)) {
                continue;
            }
            Witness witness = latest.get(member.incarnation());
            if (witness == null || !witness.promised()) {
                return Long.MIN_VALUE;
            }
            asked = Math.min(asked, witness.askedMillis());
        }
        return asked == Long.MAX_VALUE ? Long.MIN_VALUE : asked + ttlMillis;
    }

    /**
     * Tells whether some member has applied more than this one.
     *
     * @param appliedOffset how far the log was applied here
     * @return whether one has
     */
    public boolean isBehind(long appliedOffset) {
        return latest.values().stream().anyMatch(witness -> witness.appliedOffset() > appliedOffset);
    }
}
