package org.ragwortpitch.controllog;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.OperationId;

/**
 * A daemon announces that it is about to send an operation that may run at most once. Only the first record of an
 * operation is accepted.
 *
 * @param account         the client account
 * @param operation       the caller's operation id
 * @param startedAtMillis the writer's wall clock, in milliseconds since the epoch
 */
public record OperationStarted(AccountId account, OperationId operation, long startedAtMillis) implements LogEntry {}
