package org.ragwortpitch.membership;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;

/**
 * A member as the log tells it.
 *
 * @param incarnation        the member's incarnation
 * @param instance           the instance that it runs on
 * @param failureDomain      the instance's failure domain
 * @param callerAddress      where callers reach it, as host and port
 * @param peerAddress        where other daemons reach it, as host and port
 * @param joinedOffset       the offset of its join
 * @param renewedOffset      the offset of its newest renewal, or of its join
 * @param acknowledgedOffset the offset up to which it is known to have applied the log
 * @param sequence           the highest sequence read of it
 * @param leaving            whether it has begun a graceful shutdown
 */
public record Member(
        Incarnation incarnation,
        InstanceId instance,
        FailureDomain failureDomain,
        String callerAddress,
        String peerAddress,
        long joinedOffset,
        long renewedOffset,
        long acknowledgedOffset,
        long sequence,
        boolean leaving) {

    /**
     * Tells this member after a renewal.
     *
     * @param offset        the renewal's offset
     * @param appliedOffset the offset that the member had applied
     * @param nowLeaving    whether the member leaves
     * @return the renewed member
     */
    public Member withRenewal(long offset, long appliedOffset, boolean nowLeaving) {
        long acknowledged = Math.max(acknowledgedOffset, appliedOffset);
        return new Member(
                incarnation,
                instance,
                failureDomain,
                callerAddress,
                peerAddress,
                joinedOffset,
                offset,
                acknowledged,
                sequence,
                leaving || nowLeaving);
    }

    /**
     * Tells this member after one more of its records was read.
     *
     * @param readSequence the record's sequence
     * @return the member with that sequence
     */
    public Member withSequence(long readSequence) {
        return new Member(
                incarnation,
                instance,
                failureDomain,
                callerAddress,
                peerAddress,
                joinedOffset,
                renewedOffset,
                acknowledgedOffset,
                readSequence,
                leaving);
    }
}
