package org.ragwortpitch.configuration;

/**
 * The rate and burst of a token bucket.
 *
 * @param perSecond the refill rate, per second
 * @param burst     the capacity
 */
public record RateLimit(long perSecond, long burst) {}
