package org.ragwortpitch.membership;

/**
 * A renewal as an observer saw it.
 *
 * @param offset          the renewal's offset
 * @param firstReadMillis when it was first read, of the observer's monotonic clock
 */
record ObservedRenewal(long offset, long firstReadMillis) {}
