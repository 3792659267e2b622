package org.ragwortpitch.usage;

/**
 * Usage added up.
 *
 * @param key          what it is added up by
 * @param requests     the finished answers
 * @param promptTokens the prompt tokens, cached ones included
 * @param cachedTokens the cached prompt tokens
 * @param outputTokens the generated tokens
 */
public record UsageLine(UsageKey key, long requests, long promptTokens, long cachedTokens, long outputTokens) {

    /**
     * Makes a line of one answer.
     *
     * @param entry the answer's usage
     * @return the line
     */
    public static UsageLine of(UsageEntry entry) {
        UsageKey key = new UsageKey(entry.window(), entry.account(), entry.model());
        return new UsageLine(key, 1, entry.promptTokens(), entry.cachedTokens(), entry.outputTokens());
    }

    /**
     * Adds another line of the same key.
     *
     * @param other the other line
     * @return the sum
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
