package org.ragwortpitch.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.deployment.PrefixBlock;

/**
 * Tests the estimate of cached prefixes.
 */
class PrefixCacheEstimateTest {

    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(1_000);

    @Test
    void testBlockCountsOnlyBehindCachedBlocks() {
        cache.sent(List.of(new PrefixBlock(1, 100), new PrefixBlock(2, 200)));
        assertEquals(300, cache.cachedTokens(List.of(new PrefixBlock(1, 100), new PrefixBlock(2, 200))));
        assertEquals(0, cache.cachedTokens(List.of(new PrefixBlock(9, 100), new PrefixBlock(2, 200))));
    }

    @Test
    void testLeastRecentlyUsedBlockIsEvicted() {
        cache.sent(List.of(new PrefixBlock(1, 600)));
        cache.sent(List.of(new PrefixBlock(2, 300)));
        cache.sent(List.of(new PrefixBlock(1, 600)));
        cache.sent(List.of(new PrefixBlock(3, 300)));
        assertEquals(600, cache.cachedTokens(List.of(new PrefixBlock(1, 600))));
        assertEquals(0, cache.cachedTokens(List.of(new PrefixBlock(2, 300))));
    }
}
