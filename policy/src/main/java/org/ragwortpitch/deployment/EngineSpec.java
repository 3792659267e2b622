package org.ragwortpitch.deployment;

/**
 * What a model engine of a pool can do.
 *
 * @param slots            the requests that it runs at once
 * @param memoryTokens     the tokens that its KV memory holds
 * @param tokenBytes       the bytes of KV memory of a token
 * @param linkMbps         the speed of its link, in megabits a second
 * @param handleMillis     how long it keeps a prompt that was read for another engine, in milliseconds
 * @param roleSwitchMillis how long a change of its role takes, in milliseconds
 */
public record EngineSpec(
        int slots, long memoryTokens, long tokenBytes, double linkMbps, long handleMillis, long roleSwitchMillis) {}
