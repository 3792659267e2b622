package org.ragwortpitch.control;

import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationOutcome;

/**
 * An operation that this daemon started has ended.
 *
 * @param key     the key of the operation
 * @param outcome the outcome to record
 */
public record EndOperation(OperationKey key, OperationOutcome outcome) implements ControlMessage {}
