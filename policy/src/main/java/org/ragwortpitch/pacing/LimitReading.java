package org.ragwortpitch.pacing;

import java.util.OptionalDouble;

/**
 * What an endpoint has stated in a response about the rate that it takes from all daemons together.
 *
 * @param perSecond the limit in requests a second; empty if it states none any more
 * @param atMillis  when the response came, in milliseconds of the monotonic clock
 */
public record LimitReading(OptionalDouble perSecond, long atMillis) {}
