package org.ragwortpitch.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.identity.EndpointId;

/**
 * What endpoints are believed to have in their prefix caches, from a daemon's own dispatches and from cache events,
 * which come late and with gaps. Bounded for each endpoint; confined to one thread.
 */
public final class PieceIndex {

    /**
     * The most pieces remembered of each endpoint.
     */
    private final int maxPieces;

    /**
     * The pieces of each endpoint, least recently used first.
     */
    private final Map<EndpointId, Map<Long, Boolean>> pieces = new HashMap<>();

    /**
     * Makes an empty index.
     *
     * @param maxPieces the most pieces remembered of each endpoint
     */
    public PieceIndex(int maxPieces) {
        this.maxPieces = maxPieces;
    }

    /**
     * Notes that a prompt was sent to an endpoint.
     *
     * @param endpoint the endpoint
     * @param prompt   the prompt's pieces
     */
    public void sent(EndpointId endpoint, List<Long> prompt) {
        prompt.forEach(piece -> stored(endpoint, piece));
    }

    /**
     * Notes that an endpoint has stored a piece.
     *
     * @param endpoint the endpoint
     * @param piece    the piece
     */
    public void stored(EndpointId endpoint, long piece) {
        Map<Long, Boolean> known = pieces.computeIfAbsent(endpoint, id -> new LinkedHashMap<>(16, 0.75f, true));
        known.put(piece, true);
        if (known.size() > maxPieces) {
            known.remove(known.keySet().iterator().next());
        }
    }

    /**
     * Notes that an endpoint has dropped a piece.
     *
     * @param endpoint the endpoint
     * @param piece    the piece
     */
    public void dropped(EndpointId endpoint, long piece) {
        pieces.getOrDefault(endpoint, new HashMap<>()).remove(piece);
    }

    /**
     * Notes that an endpoint has lost its cache, by a crash or a change of role.
     *
     * @param endpoint the endpoint
     */
    public void lost(EndpointId endpoint) {
        pieces.remove(endpoint);
    }

    /**
     * Tells how much of a prompt an endpoint is believed to have.
     *
     * @param endpoint the endpoint
     * @param prompt   the prompt's pieces
     * @return the tokens of the leading pieces
     */
    public long cachedTokens(EndpointId endpoint, List<Long> prompt) {
        Map<Long, Boolean> known = pieces.get(endpoint);
        if (known == null) {
            return 0;
        }
        int hits = 0;
        while (hits < prompt.size() && known.get(prompt.get(hits)) != null) {
            hits++;
        }
        return (long) hits * Demand.TOKENS_PER_PIECE;
    }
}
