package org.ragwortpitch.duty;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;

/**
 * A duty in someone's hands.
 *
 * @param duty   the duty
 * @param holder the member that holds it
 * @param term   the offset of the accepted claim, which is the fencing number of all orders under it
 */
public record DutyTerm(DutyId duty, Incarnation holder, long term) {}
