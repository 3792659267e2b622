package org.ragwortpitch.gateway;

/**
 * The settings of the gateway.
 *
 * @param freshMillis          how old the rules may be when keys are trusted by them, in milliseconds
 * @param maxBodyBytes         the longest body, in bytes
 * @param bodyMillis           how long a caller may take to send a body, in milliseconds
 * @param defaultOutputTokens  the most tokens to generate when a request does not say
 * @param maxOutputTokens      the most tokens that a request may ask for
 * @param addressCacheMillis   how long callers may keep the addresses, in milliseconds
 * @param usageWindowMillis    the length of a usage window, in milliseconds
 * @param usageHoldMillis      how long a finish waits for its usage to be durable, in milliseconds
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
