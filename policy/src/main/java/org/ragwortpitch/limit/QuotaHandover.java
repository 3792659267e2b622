package org.ragwortpitch.limit;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;

/**
 * A previous owner's statement that it no longer spends an account's share.
 *
 * @param account       the account
 * @param successor     the new owner
 * @param appliedOffset the log offset that the previous owner had applied when it stopped
 * @param level         the share's levels
 * @param lent          the sum of the quota lent by the previous owner that can still be spent
 */
public record QuotaHandover(
        AccountId account, Incarnation successor, long appliedOffset, QuotaAmount level, QuotaAmount lent) {}
