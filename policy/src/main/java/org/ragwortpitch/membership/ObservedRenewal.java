package org.ragwortpitch.membership;

/**
 * A renewal as an observer saw it.
 *
 * @param offset          the renewal's offset
 * @param acknowledgedOffset how far the member had applied the log by then
 * @param firstReadMillis when it was first read, of the observer's monotonic clock
 */
record ObservedRenewal(long offset, long acknowledgedOffset, long firstReadMillis) {}
