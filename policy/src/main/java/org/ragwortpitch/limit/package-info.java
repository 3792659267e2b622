/**
 * Rate and burst limits of client accounts, enforced across all daemons.
 *
 * <p>Each account has one or a few owner daemons, which alone may spend its quota. Any other daemon borrows quota from
 * an owner for each request. The sum of all shares never exceeds the account's rate and burst: an owner's share starts
 * only when every other member is known to have applied the membership change that made the daemon an owner.
 */
package org.ragwortpitch.limit;
