package org.ragwortpitch.duty;

import org.ragwortpitch.identity.DutyId;
import org.ragwortpitch.identity.Incarnation;

/**
 * A duty together with its holder.
 *
 * @param duty   the duty
 * @param holder the member that holds it
 * @param term   the log offset of the accepted claim, which is the fencing token of every order sent under the term
 */
public record DutyTerm(DutyId duty, Incarnation holder, long term) {}
