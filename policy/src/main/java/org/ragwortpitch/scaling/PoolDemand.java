package org.ragwortpitch.scaling;

/**
 * What callers ask of a pool of engines, over all daemons.
 *
 * @param readTokensPerMilli the tokens of prompts to be read in a millisecond, kept ones left out
 * @param streams            the streams under way
 */
public record PoolDemand(double readTokensPerMilli, int streams) {}
