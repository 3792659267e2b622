package org.ragwortpitch.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.identity.EndpointId;

/**
 * Index of the prefix blocks that endpoints are expected to have cached, built from this daemon's dispatches and from
 * cache events, which arrive late and with gaps. Bounded per endpoint, with eviction of the least recently used blocks;
 * confined to one thread.
 */
public final class PrefixBlockIndex {

    private final int maxBlocks;

    /**
     * The blocks of each endpoint, least recently used first; the values are unused.
     */
    private final Map<EndpointId, Map<Long, Boolean>> blocksByEndpoint = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param maxBlocks the limit on the blocks indexed per endpoint
     */
    public PrefixBlockIndex(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /**
     * Adds the blocks of a prompt that was sent to an endpoint.
     *
     * @param prompt the hashes of the prompt's prefix blocks
     */
    public void sent(EndpointId endpoint, List<Long> prompt) {
        prompt.forEach(block -> stored(endpoint, block));
    }

    /**
     * Adds a block that an endpoint has cached.
     */
    public void stored(EndpointId endpoint, long block) {
        Map<Long, Boolean> blocks =
                blocksByEndpoint.computeIfAbsent(endpoint, id -> new LinkedHashMap<>(16, 0.75f, true));
        blocks.put(block, true);
        if (blocks.size() > maxBlocks) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }

    /**
     * Removes a block that an endpoint has evicted.
     */
    public void evicted(EndpointId endpoint, long block) {
        blocksByEndpoint.getOrDefault(endpoint, new HashMap<>()).remove(block);
    }

    /**
     * Removes all blocks of an endpoint that has lost its cache in a crash or a change of role.
     */
    public void lost(EndpointId endpoint) {
        blocksByEndpoint.remove(endpoint);
    }

    /**
     * Returns the length of a prompt's prefix that an endpoint is expected to have cached.
     *
     * @param prompt the hashes of the prompt's prefix blocks
     * @return the tokens of the leading cached blocks
     */
    public long cachedTokens(EndpointId endpoint, List<Long> prompt) {
        Map<Long, Boolean> blocks = blocksByEndpoint.get(endpoint);
        if (blocks == null) {
            return 0;
        }
        int cachedBlocks = 0;
        while (cachedBlocks < prompt.size() && blocks.get(prompt.get(cachedBlocks)) != null) {
            cachedBlocks++;
        }
        return (long) cachedBlocks * RequestCost.TOKENS_PER_BLOCK;
    }
}
