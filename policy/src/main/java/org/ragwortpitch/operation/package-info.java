/**
 * Operations that may run at most once, such as signatures, deposits, bookings and donations. Callers identify them by
 * an idempotency key.
 */
package org.ragwortpitch.operation;
