package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.OperationId;
import org.ragwortpitch.operation.OperationOutcome;

/**
 * The daemon that started an operation records its outcome.
 *
 * @param account   the client account
 * @param operation the caller's operation id
 * @param outcome   how the operation ended
 */
public record OperationEnded(AccountId account, OperationId operation, OperationOutcome outcome) implements LogEntry {}
