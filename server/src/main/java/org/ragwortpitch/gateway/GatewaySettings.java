package org.ragwortpitch.gateway;

/**
 * The settings of the gateway.
 *
 * @param freshMillis          the maximum age of the configuration that API keys are checked with, in milliseconds
 * @param maxBodyBytes         the maximum size of a request body, in bytes
 * @param bodyMillis           the timeout for receiving a request body, in milliseconds
 * @param defaultOutputTokens  the output limit of requests that set none, in tokens
 * @param maxOutputTokens      the highest output limit that a request may set, in tokens
 * @param addressCacheMillis   how long callers may cache the addresses of daemons, in milliseconds
 * @param usageWindowMillis    the length of a usage window, in milliseconds
 * @param usageHoldMillis      how long a finish event may wait until its usage is durable, in milliseconds
 */
public record GatewaySettings(
        long freshMillis,
        long maxBodyBytes,
        long bodyMillis,
        int defaultOutputTokens,
        int maxOutputTokens,
        long addressCacheMillis,
        long usageWindowMillis,
        long usageHoldMillis) {}
