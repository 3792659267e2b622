package org.ragwortpitch.membership;

import org.ragwortpitch.identity.Incarnation;

/**
 * What another member said when it was asked.
 *
 * @param member        the member
 * @param appliedOffset how far it had applied the log
 * @param contactMillis when it was last in touch with the log's head, no later than true; the beginning of time if
 *                      never
 * @param askedMillis   when it was asked
 * @param promised      whether it gave its word not to evict the asker for the length of a lease from then on
 */
public record Witness(Incarnation member, long appliedOffset, long contactMillis, long askedMillis, boolean promised) {}
