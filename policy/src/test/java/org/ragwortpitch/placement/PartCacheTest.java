package org.ragwortpitch.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.deployment.PromptPart;

/**
 * Tests the estimate of cached prefixes.
 */
class PartCacheTest {

    private final PartCache cache = new PartCache(1_000);

    @Test
    void testBlockCountsOnlyBehindCachedBlocks() {
        cache.sent(List.of(new PromptPart(1, 100), new PromptPart(2, 200)));
        assertEquals(300, cache.keptTokens(List.of(new PromptPart(1, 100), new PromptPart(2, 200))));
        assertEquals(0, cache.keptTokens(List.of(new PromptPart(9, 100), new PromptPart(2, 200))));
    }

    @Test
    void testLeastRecentlyUsedBlockIsEvicted() {
        cache.sent(List.of(new PromptPart(1, 600)));
        cache.sent(List.of(new PromptPart(2, 300)));
        cache.sent(List.of(new PromptPart(1, 600)));
        cache.sent(List.of(new PromptPart(3, 300)));
        assertEquals(600, cache.keptTokens(List.of(new PromptPart(1, 600))));
        assertEquals(0, cache.keptTokens(List.of(new PromptPart(2, 300))));
    }
}
