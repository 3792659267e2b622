package org.ragwortpitch.measure;

/**
 * Latencies and cache hits of a request that a fake engine served.
 *
 * @param firstTokenMillis the time to the first token, in milliseconds
 * @param tokenGapMillis   the time between tokens, in milliseconds
 * @param cachedTokens     the prompt tokens found in the prefix cache
 */
record Served(double firstTokenMillis, double tokenGapMillis, long cachedTokens) {}
