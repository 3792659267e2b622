package org.ragwortpitch.limit;

import org.ragwortpitch.identity.TransferId;

/**
 * The answer to a wish for allowance.
 *
 * @param kind             the answer
 * @param id               names what was granted, to settle it later
 * @param retryAfterMillis when to try again, in milliseconds from now; 0 if that is not known
 */
public record Admission(AdmissionKind kind, TransferId id, long retryAfterMillis) {

    /**
     * Makes an answer that grants nothing.
     *
     * @param kind             the answer
     * @param id               the name of the wish
     * @param retryAfterMillis when to try again, in milliseconds from now; 0 if that is not known
     * @return the answer
     */
    static Admission refused(AdmissionKind kind, TransferId id, long retryAfterMillis) {
        return new Admission(kind, id, retryAfterMillis);
    }
}
