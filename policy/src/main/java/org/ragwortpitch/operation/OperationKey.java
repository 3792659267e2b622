package org.ragwortpitch.operation;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.OperationId;

/**
 * What tells operations apart.
 *
 * @param account   the client account
 * @param operation the caller's operation id
 */
public record OperationKey(AccountId account, OperationId operation) {}
