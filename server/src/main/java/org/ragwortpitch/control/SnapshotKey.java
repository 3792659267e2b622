package org.ragwortpitch.control;

import java.util.List;
import java.util.Set;
import org.ragwortpitch.duty.DutyTerm;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.membership.Member;

/**
 * The parts of a snapshot that tell whether it differs from the one before: all else follows from the applied offset.
 *
 * @param self           this daemon's incarnation
 * @param isMember       whether it is a member as far as it has read
 * @param leaving        whether it has begun a graceful shutdown
 * @param appliedOffset  how far the log was applied
 * @param leaseEndMillis when the membership lease ends
 * @param limitEndMillis when this daemon must stop to spend its shares of limits
 * @param contactMillis  when the log's head was last known to be applied
 */
record SnapshotKey(
        Incarnation self,
        boolean isMember,
        boolean leaving,
        long appliedOffset,
        long leaseEndMillis,
        long limitEndMillis,
        long contactMillis) {

    /**
     * Makes the snapshot.
     *
     * @param rules         the rules
     * @param members       the members
     * @param duties        the held duties
     * @param ordered       the endpoints that an order may be under way to
     * @param changedOffset where members or rules last changed
     * @return the snapshot
     */
    Snapshot toSnapshot(
            RulesCoordinator rules,
            List<Member> members,
            List<DutyTerm> duties,
            Set<EndpointId> ordered,
            long changedOffset) {
        return new Snapshot(
                self,
                isMember,
                leaving,
                rules.configuration(),
                rules.version(),
                members,
                duties,
                ordered,
                changedOffset,
                appliedOffset,
                leaseEndMillis,
                limitEndMillis,
                contactMillis);
    }
}
