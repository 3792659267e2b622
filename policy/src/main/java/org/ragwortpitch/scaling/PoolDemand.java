package org.ragwortpitch.scaling;

/**
 * Demand on a pool of engines, summed over all daemons.
 *
 * @param prefillTokensPerMilli the prompt tokens to prefill per millisecond, without cached ones
 * @param streams               the streams in flight
 */
public record PoolDemand(double prefillTokensPerMilli, int streams) {}
