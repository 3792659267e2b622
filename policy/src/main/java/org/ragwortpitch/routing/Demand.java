package org.ragwortpitch.routing;

import java.util.List;

/**
 * What a request asks of an endpoint.
 *
 * @param promptTokens the prompt tokens, estimated
 * @param outputTokens the tokens to generate, expected
 * @param pieces       the hashes of the prompt up to the end of each piece
 */
public record Demand(long promptTokens, long outputTokens, List<Long> pieces) {

    /**
     * How many tokens make a piece of the prefix cache.
     */
    public static final int TOKENS_PER_PIECE = 1_000;

    /**
     * Copies the list.
     */
    public Demand {
        pieces = List.copyOf(pieces);
    }

    /**
     * Demands nothing in particular, as plain services do.
     */
    public static final Demand NONE = new Demand(0, 0, List.of());
}
