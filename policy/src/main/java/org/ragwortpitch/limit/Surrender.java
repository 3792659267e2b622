package org.ragwortpitch.limit;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.Incarnation;

/**
 * A home's word that it has stopped to spend an account's share.
 *
 * @param account       the account
 * @param heir          the new home
 * @param appliedOffset how far the former home had applied the log when it stopped
 * @param level         what the share held
 * @param lent          what the former home had lent and may still be spent
 */
public record Surrender(AccountId account, Incarnation heir, long appliedOffset, Allowance level, Allowance lent) {}
