/**
 * Rates and bursts of client accounts, held over all daemons together.
 *
 * <p>Each account has one or a few home daemons, which alone may spend its allowance. A daemon that is not a home
 * borrows from one for each request. The sum of all shares never exceeds the account's rate and burst: a home starts
 * only when every other member is known to have seen the change of membership that made it one.
 */
package org.ragwortpitch.limit;
