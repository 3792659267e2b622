package org.ragwortpitch.limit;

import org.ragwortpitch.identity.TransferId;

/**
 * The result of a request for quota.
 *
 * @param kind             the outcome
 * @param id               identifies the granted quota when it is settled
 * @param retryAfterMillis how long the caller should wait before it retries, in milliseconds; 0 if unknown
 */
public record Admission(AdmissionKind kind, TransferId id, long retryAfterMillis) {

    /** Returns a result that grants nothing. */
    static Admission refused(AdmissionKind kind, TransferId id, long retryAfterMillis) {
        return new Admission(kind, id, retryAfterMillis);
    }
}
