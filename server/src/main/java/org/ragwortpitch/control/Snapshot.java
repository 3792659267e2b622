package org.ragwortpitch.control;

import java.util.List;
import java.util.Set;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;

/**
 * What traffic threads know of control state.
 *
 * @param self                 this daemon's incarnation
 * @param isMember             whether it is a member as far as it has read
 * @param leaving              whether it has begun a graceful shutdown
 * @param configuration        the rules in force
 * @param configurationVersion their version; -1 without any
 * @param members              the members
 * @param duties               the held duties
 * @param ordered              the endpoints that an order may be under way to
 * @param changedOffset        where members or rules last changed
 * @param appliedOffset        how far the log was applied
 * @param leaseEndMillis       when the membership lease ends, of the monotonic clock
 * @param limitEndMillis       when this daemon must stop to spend its shares of limits, of the monotonic clock
 * @param contactMillis        when the log's head was last known to be applied, of the monotonic clock
 */
public record Snapshot(
        Incarnation self,
        boolean isMember,
        boolean leaving,
        Configuration configuration,
        long configurationVersion,
        List<Member> members,
        List<DutyTerm> duties,
        Set<EndpointId> ordered,
        long changedOffset,
        long appliedOffset,
        long leaseEndMillis,
        long limitEndMillis,
        long contactMillis) {

    /**
     * Copies the lists.
     */
    public Snapshot {
        members = List.copyOf(members);
        duties = List.copyOf(duties);
        ordered = Set.copyOf(ordered);
    }

    /**
     * What is known before anything was read.
     */
    public static final Snapshot EMPTY = new Snapshot(
            new Incarnation(""),
            false,
            false,
            Configuration.EMPTY,
            -1,
            List.of(),
            List.of(),
            Set.of(),
            -1,
            -1,
            Long.MIN_VALUE,
            Long.MIN_VALUE,
            Long.MIN_VALUE);

    /**
     * Tells whether the rules are known to be recent enough to trust keys by them.
     *
     * @param limitMillis how old they may be, in milliseconds
     * @param nowMillis   the present time, of the monotonic clock
     * @return whether they are
     */
    public boolean isFresh(long limitMillis, long nowMillis) {
        return contactMillis != Long.MIN_VALUE && nowMillis - contactMillis < limitMillis;
    }
}
