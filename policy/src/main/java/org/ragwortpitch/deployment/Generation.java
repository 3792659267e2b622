package org.ragwortpitch.deployment;

import java.util.List;

/**
 * The work that a request asks of an engine: the prompt to prefill and the output to decode.
 *
 * @param promptTokens    the length of the prompt, in tokens
 * @param maxOutputTokens the maximum length of the output, in tokens
 * @param parts           the prompt's prefix blocks, in order; the last one belongs to the request or its session
 */
public record Generation(int promptTokens, int maxOutputTokens, List<PrefixBlock> parts) {

    /**
     * Copies the list of prefix blocks.
     */
    public Generation {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the tokens charged to the account's quota: the prompt and the maximum output.
     */
    public long quotaTokens() {
        return (long) promptTokens + maxOutputTokens;
    }

    /**
     * Returns the affinity key, by which requests with a common prefix are routed to the same endpoint: the id of the
     * last prefix block that other requests may share; 0 if there is none.
     */
    public long subject() {
        return parts.size() < 2 ? 0 : parts.get(parts.size() - 2).id();
    }

    /**
     * Returns the prefix blocks that other requests may share, in order: all but the last.
     */
    public List<PrefixBlock> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }
}
