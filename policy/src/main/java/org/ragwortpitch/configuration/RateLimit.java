package org.ragwortpitch.configuration;

/**
 * A rate with a burst.
 *
 * @param perSecond how much flows in each second
 * @param burst     how much may be taken at once
 */
public record RateLimit(long perSecond, long burst) {}
