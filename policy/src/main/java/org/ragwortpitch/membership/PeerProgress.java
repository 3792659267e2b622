package org.ragwortpitch.membership;

import org.ragwortpitch.identity.Incarnation;

/**
 * Another member's answer to a query for its progress.
 *
 * @param member        the member
 * @param appliedOffset the log offset that it had applied
 * @param contactMillis when it last reached the head of the log, as a lower bound; {@link Long#MIN_VALUE} if never
 * @param queriedMillis when the query was sent
 * @param promised      whether it promised not to evict the querying member for the length of a lease from then on
 */
public record PeerProgress(
        Incarnation member, long appliedOffset, long contactMillis, long queriedMillis, boolean promised) {}
