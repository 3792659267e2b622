package org.ragwortpitch.operation;

import org.ragwortpitch.identity.Incarnation;

/**
 * An operation that was started.
 *
 * @param key             the operation
 * @param starter         the daemon that may send it, the only one
 * @param startedOffset   the offset of its start
 * @param startedAtMillis the starter's wall clock, in milliseconds since the epoch
 * @param outcome         the outcome, or null while it is not known
 */
public record OperationRecord(
        OperationKey key, Incarnation starter, long startedOffset, long startedAtMillis, OperationOutcome outcome) {

    /**
     * Tells this operation with its outcome.
     *
     * @param known the outcome
     * @return the operation
     */
    public OperationRecord withOutcome(OperationOutcome known) {
        return new OperationRecord(key, starter, startedOffset, startedAtMillis, known);
    }
}
