package org.ragwortpitch.control;

import java.util.List;
import java.util.Set;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;

/**
 * The parts of a snapshot that determine whether it differs from the last published one. Everything else in a snapshot
 * follows from the applied offset.
 *
 * @param self           the incarnation of this daemon
 * @param isMember       whether it is a member as of the applied log
 * @param leaving        whether it has begun a graceful shutdown
 * @param appliedOffset  the last log offset that was applied
 * @param leaseEndMillis when the membership lease expires, of the monotonic clock
 * @param quotaEndMillis when this daemon must stop spending its shares of quotas, of the monotonic clock
 * @param contactMillis  when the rules were last known to be current, of the monotonic clock
 */
record SnapshotKey(
        Incarnation self,
        boolean isMember,
        boolean leaving,
        long appliedOffset,
        long leaseEndMillis,
        long quotaEndMillis,
        long contactMillis) {

    /**
     * Creates the snapshot.
     *
     * @param rules                  the rules
     * @param members                the members
     * @param duties                 the duties that are held
     * @param endpointsWithOpenOrder the endpoints with an open order
     * @param changedOffset          the log offset of the last change of the members or the rules
     * @return the snapshot
     */
    Snapshot toSnapshot(
            RulesCoordinator rules,
            List<Member> members,
            List<DutyTerm> duties,
            Set<EndpointId> endpointsWithOpenOrder,
            long changedOffset) {
        return new Snapshot(
                self,
                isMember,
                leaving,
                rules.configuration(),
                rules.version(),
                members,
                duties,
                endpointsWithOpenOrder,
                changedOffset,
                appliedOffset,
                leaseEndMillis,
                quotaEndMillis,
                contactMillis);
    }
}
