package org.ragwortpitch.usage;

/**
 * Aggregated usage of one key.
 *
 * @param key          the aggregation key
 * @param requests     the number of completed responses
 * @param promptTokens the prompt tokens, including cached ones
 * @param cachedTokens the prompt tokens that hit the prefix cache
 * @param outputTokens the generated tokens
 */
public record UsageLine(UsageKey key, long requests, long promptTokens, long cachedTokens, long outputTokens) {

    /**
     * Returns the line of a single response.
     */
    public static UsageLine of(UsageEntry entry) {
        UsageKey key = new UsageKey(entry.window(), entry.account(), entry.model());
        return new UsageLine(key, 1, entry.promptTokens(), entry.cachedTokens(), entry.outputTokens());
    }

    /**
     * Returns the sum of this line and another one of the same key.
     *
     * @param other the other line; its key is not checked
     */
    public UsageLine plus(UsageLine other) {
        return new UsageLine(
                key,
                requests + other.requests,
                promptTokens + other.promptTokens,
                cachedTokens + other.cachedTokens,
                outputTokens + other.outputTokens);
    }
}
