package org.ragwortpitch.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.deployment.PromptPart;

/**
 * What an engine probably keeps of prompts: the parts sent there, least recently used ones dropped first. Confined to
 * one thread.
 */
public final class PartCache {

    private final long capacityTokens;
    private final Map<Long, Integer> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
    private long heldTokens;

    /**
     * Makes an empty cache.
     *
     * @param capacityTokens the tokens that the engine keeps besides those of running requests
     */
    public PartCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Notes parts that were sent to the engine.
     */
    public void sent(List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Integer before = tokensByPart.put(part.id(), part.tokens());
            heldTokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Integer> oldest = tokensByPart.values().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next();
            oldest.remove();
        }
    }

    /**
     * Counts the tokens at a prompt's start that needn't be read again: a part helps only if all before it are kept.
     */
    public int keptTokens(List<PromptPart> parts) {
        int kept = 0;
        for (PromptPart part : parts) {
            if (!tokensByPart.containsKey(part.id())) {
                return kept;
            }
            kept += part.tokens();
        }
        return kept;
    }
}
