package org.ragwortpitch.deployment;

/**
 * The capabilities of a pool's model engines.
 *
 * @param slots             the maximum number of requests that run concurrently
 * @param kvCapacityTokens  the capacity of the KV cache, in tokens
 * @param kvBytesPerToken   the KV cache size of one token, in bytes
 * @param linkMbps          the network bandwidth, in megabits per second
 * @param kvHandleTtlMillis how long an engine holds the KV cache of a prompt that it prefilled for another engine, in
 *                          milliseconds
 * @param roleSwitchMillis  how long a change of role takes, in milliseconds
 */
public record EngineSpec(
        int slots,
        long kvCapacityTokens,
        long kvBytesPerToken,
        double linkMbps,
        long kvHandleTtlMillis,
        long roleSwitchMillis) {}
