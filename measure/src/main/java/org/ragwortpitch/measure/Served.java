package org.ragwortpitch.measure;

/**
 * How a fake engine served a request.
 *
 * @param firstTokenMillis the time to the first token, in milliseconds
 * @param betweenMillis    the time between tokens, in milliseconds
 * @param cachedTokens     the prompt tokens found in the prefix cache
 */
record Served(double firstTokenMillis, double betweenMillis, long cachedTokens) {}
