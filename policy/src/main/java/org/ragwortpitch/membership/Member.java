package org.ragwortpitch.membership;

import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.InstanceId;

/**
 * A member according to the log.
 *
 * @param incarnation        the member's incarnation
 * @param instance           the instance that it runs on
 * @param failureDomain      the instance's failure domain
 * @param callerAddress      the address for callers, as host and port
 * @param peerAddress        the address for other daemons, as host and port
 * @param joinedOffset       the log offset of its join
 * @param renewedOffset      the log offset of its newest renewal, or of its join
 * @param acknowledgedOffset the log offset up to which it is known to have applied the log
 * @param sequence           the highest sequence number read from it
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
     * Returns a copy of this member after a renewal.
     *
     * @param offset        the log offset of the renewal
     * @param appliedOffset the log offset that the member had applied
     * @param nowLeaving    whether the renewal announces a graceful shutdown
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
     * Returns a copy of this member after another of its records was read.
     *
     * @param readSequence the record's sequence number
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
