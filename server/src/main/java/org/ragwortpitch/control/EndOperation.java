package org.ragwortpitch.control;

import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationOutcome;

/**
 * An operation that this daemon started has ended.
 *
 * @param key     the operation
 * @param outcome its outcome
 */
public record EndOperation(OperationKey key, OperationOutcome outcome) implements ControlMessage {}
