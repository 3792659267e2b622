package org.ragwortpitch.membership;

/**
 * A renewal as read by an observer.
 *
 * @param offset             the log offset of the renewal
 * @param acknowledgedOffset the log offset that the member had applied by then
 * @param firstReadMillis    when the renewal was first read, on the observer's monotonic clock
 */
record ObservedRenewal(long offset, long acknowledgedOffset, long firstReadMillis) {}
