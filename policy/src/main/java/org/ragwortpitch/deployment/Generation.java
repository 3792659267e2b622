package org.ragwortpitch.deployment;

import java.util.List;

/**
 * What a request asks of an engine.
 *
 * @param promptTokens    the prompt's length
 * @param maxOutputTokens the most tokens of the answer
 * @param parts           the prompt's parts, in order; the last one belongs to the request or its session
 */
public record Generation(int promptTokens, int maxOutputTokens, List<PromptPart> parts) {

    /**
     * Copies the parts.
     */
    public Generation {
        parts = List.copyOf(parts);
    }

    /**
     * Tells the tokens by which accounts are limited.
     */
    public long countedTokens() {
        return (long) promptTokens + maxOutputTokens;
    }

    /**
     * Tells the id by which requests with a common prompt are kept together: that of the last part which others may
     * share; 0 if there is none.
     */
    public long subject() {
        return parts.size() < 2 ? 0 : parts.get(parts.size() - 2).id();
    }
}
