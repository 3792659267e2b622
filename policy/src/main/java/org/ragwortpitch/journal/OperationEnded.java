package org.ragwortpitch.journal;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.OperationId;
import org.ragwortpitch.operation.OperationOutcome;

/**
 * The outcome of an operation, told by the daemon that started it.
 *
 * @param account   the client account
 * @param operation the caller's operation id
 * @param outcome   what became of it
 */
public record OperationEnded(AccountId account, OperationId operation, OperationOutcome outcome) implements LogEntry {}
