package org.ragwortpitch.pacing;

/**
 * Until when an endpoint is cold.
 *
 * @param untilMillis   its end, in milliseconds of the monotonic clock
 * @param changedMillis when that end was learned, in milliseconds of the monotonic clock
 */
record ColdPeriod(long untilMillis, long changedMillis) {}
