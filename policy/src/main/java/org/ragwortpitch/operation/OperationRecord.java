package org.ragwortpitch.operation;

import org.ragwortpitch.identity.Incarnation;

/**
 * A started operation.
 *
 * @param key             the operation's key
 * @param starter         the only daemon that may send the operation
 * @param startedOffset   the log offset of its start record
 * @param startedAtMillis when it started by the starter's wall clock, in milliseconds since the epoch
 * @param outcome         the outcome, or null while it is not known
 */
public record OperationRecord(
        OperationKey key, Incarnation starter, long startedOffset, long startedAtMillis, OperationOutcome outcome) {

    /**
     * Returns a copy with an outcome.
     */
    public OperationRecord withOutcome(OperationOutcome newOutcome) {
        return new OperationRecord(key, starter, startedOffset, startedAtMillis, newOutcome);
    }
}
