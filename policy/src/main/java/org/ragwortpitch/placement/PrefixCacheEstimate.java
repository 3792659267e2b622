package org.ragwortpitch.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.deployment.PrefixBlock;

/**
 * Estimates the content of an engine's prefix cache from the prefix blocks sent to it, with eviction of the least
 * recently used blocks. Confined to one thread.
 */
public final class PrefixCacheEstimate {

    private final long capacityTokens;
    private final Map<Long, Integer> tokensByBlock = new LinkedHashMap<>(64, 0.75f, true);
    private long usedTokens;

    /**
     * Creates an empty cache.
     *
     * @param capacityTokens the tokens that the engine can cache besides those of running requests
     */
    public PrefixCacheEstimate(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Adds the prefix blocks of a prompt that was sent to the engine.
     */
    public void sent(List<PrefixBlock> blocks) {
        for (PrefixBlock block : blocks) {
            Integer before = tokensByBlock.put(block.id(), block.tokens());
            usedTokens += block.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> leastRecent = tokensByBlock.values().iterator();
        while (usedTokens > capacityTokens && leastRecent.hasNext()) {
            usedTokens -= leastRecent.next();
            leastRecent.remove();
        }
    }

    /**
     * Returns the tokens of a prompt's cached prefix, which need no prefill. A block counts only if all blocks before
     * it are cached.
     */
    public int cachedTokens(List<PrefixBlock> blocks) {
        int cached = 0;
        for (PrefixBlock block : blocks) {
            if (!tokensByBlock.containsKey(block.id())) {
                return cached;
            }
            cached += block.tokens();
        }
        return cached;
    }
}
