package org.ragwortpitch.routing;

import java.util.List;

/**
 * Estimated cost of a request to an endpoint.
 *
 * @param promptTokens the estimated prompt tokens
 * @param outputTokens the expected tokens to generate
 * @param prefixBlocks for each prefix block, the hash of the prompt up to the end of the block
 */
public record RequestCost(long promptTokens, long outputTokens, List<Long> prefixBlocks) {

    /**
     * Length of a block of the prefix cache, in tokens.
     */
    public static final int TOKENS_PER_BLOCK = 1_000;

    /**
     * Copies the list of prefix blocks.
     */
    public RequestCost {
        prefixBlocks = List.copyOf(prefixBlocks);
    }

    /**
     * Cost of a request to a service that generates no tokens.
     */
    public static final RequestCost NONE = new RequestCost(0, 0, List.of());
}
