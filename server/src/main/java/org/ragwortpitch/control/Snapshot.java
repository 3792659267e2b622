package org.ragwortpitch.control;

import java.util.List;
import java.util.Set;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;

/**
 * The control state as published to traffic threads.
 *
 * @param self                 the incarnation of this daemon
 * @param isMember             whether it is a member as of the applied log
 * @param leaving              whether it has begun a graceful shutdown
 * @param configuration        the rules in force
 * @param configurationVersion the version of the newest rules in the log, which are not in force if this daemon cannot
 *                             parse them; -1 without any
 * @param members              the members
 * @param duties               the duties that are held
 * @param endpointsWithOpenOrder              the endpoints with an open order
 * @param changedOffset        the log offset of the last change of the members or the rules
 * @param appliedOffset        the last log offset that was applied
 * @param leaseEndMillis       when the membership lease expires, of the monotonic clock
 * @param quotaEndMillis       when this daemon must stop spending its shares of quotas, of the monotonic clock
 * @param contactMillis        when the rules were last known to be current, of the monotonic clock; {@link
 *                             Long#MIN_VALUE} if never
 */
public record Snapshot(
        Incarnation self,
        boolean isMember,
        boolean leaving,
        Configuration configuration,
        long configurationVersion,
        List<Member> members,
        List<DutyTerm> duties,
        Set<EndpointId> endpointsWithOpenOrder,
        long changedOffset,
        long appliedOffset,
        long leaseEndMillis,
        long quotaEndMillis,
        long contactMillis) {

    /**
     * Copies the collections.
     */
    public Snapshot {
        members = List.copyOf(members);
        duties = List.copyOf(duties);
        endpointsWithOpenOrder = Set.copyOf(endpointsWithOpenOrder);
    }

    /**
     * The snapshot before any record was read.
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
     * Returns whether the rules were current recently enough to authenticate API keys by them.
     *
     * @param limitMillis the maximum age of the rules, in milliseconds
     * @param nowMillis   the time of the monotonic clock
     * @return whether they were
     */
    public boolean isFresh(long limitMillis, long nowMillis) {
        return contactMillis != Long.MIN_VALUE && nowMillis - contactMillis < limitMillis;
    }
}
