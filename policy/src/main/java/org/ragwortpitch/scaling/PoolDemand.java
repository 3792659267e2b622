package org.ragwortpitch.scaling;

/**
 * Demand on a pool of engines, summed over all daemons.
 *
 * @param readTokensPerMilli the prompt tokens to prefill per millisecond, without cached ones
 * @param streams            the streams in flight
 */
public record PoolDemand(double readTokensPerMilli, int streams) {}
