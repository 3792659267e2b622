package org.ragwortpitch.operation;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.OperationId;

/**
 * Identifies an operation.
 *
 * @param account   the client account
 * @param operation the operation id that the caller sent as idempotency key
 */
public record OperationKey(AccountId account, OperationId operation) {}
