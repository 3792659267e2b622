package org.ragwortpitch.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.ragwortpitch.identity.InstanceId;

/**
 * Guards against daemons that together let an account spend more than its rate and burst, and against callers that are
 * turned away for longer than needed.
 */
class SharedTokenBucketTest {

    private static final InstanceId PEER = new InstanceId("peer");

    private final SharedTokenBucket bucket = new SharedTokenBucket(1_000, 2_000, 1, 0);

    @Test
    void testDebtIsRefilledBeforeTheNextRequest() {
        assertTrue(bucket.trySpend(5_000, 0));
        assertFalse(bucket.trySpend(1, 2_900));
        assertTrue(bucket.trySpend(1, 3_100));
    }

    @Test
    void testSpendingOfPeersIsDebited() {
        bucket.debitPeer(PEER, 1, 0, 0);
        bucket.debitPeer(PEER, 1, 2_500, 0);
        assertFalse(bucket.trySpend(1, 400));
        assertTrue(bucket.trySpend(1, 600));
    }

    @Test
    void testRepeatedTotalCountsOnce() {
        bucket.debitPeer(PEER, 1, 0, 0);
        bucket.debitPeer(PEER, 1, 1_500, 0);
        bucket.debitPeer(PEER, 1, 1_500, 0);
        assertTrue(bucket.trySpend(1, 0));
    }

    @Test
    void testLateTotalOfAnEarlierIncarnationIsIgnored() {
        bucket.debitPeer(PEER, 2, 0, 0);
        bucket.debitPeer(PEER, 1, 9_000, 0);
        assertTrue(bucket.trySpend(1, 0));
    }

    @Test
    void testSpendingCountsAfterARestartWithTheClockSetBack() {
        bucket.debitPeer(PEER, 5, 0, 0);
        bucket.debitPeer(PEER, 3, 0, 0);
        bucket.debitPeer(PEER, 3, 2_500, 0);
        assertFalse(bucket.trySpend(1, 400));
    }

    @Test
    void testUnreachablePeersLowerTheRate() {
        bucket.trySpend(2_000, 0);
        bucket.share(0.25, 0);
        bucket.trySpend(1, 0);
        assertFalse(bucket.trySpend(1, 0));
        assertEquals(4, bucket.recordRefusal(0, 0), "one token at a quarter of the rate");
    }

    @Test
    void testRefusedRequestsGetConsecutiveRetryTimes() {
        bucket.trySpend(2_000, 0);
        long first = bucket.recordRefusal(500, 0);
        long second = bucket.recordRefusal(500, 0);
        assertEquals(500, second - first);
    }

    @Test
    void testLowerBurstDropsTheSurplus() {
        bucket.configure(100, 100, 0);
        assertTrue(bucket.trySpend(101, 0));
        assertFalse(bucket.trySpend(1, 5));
    }

    @Property(tries = 300)
    void testWindowNeverExceedsRateBurstAndOneRequest(
            @ForAll @IntRange(min = 1, max = 900) int request, @ForAll @IntRange(min = 1, max = 50) int gapMillis) {
        SharedTokenBucket fresh = new SharedTokenBucket(1_000, 2_000, 1, 0);
        long spent = 0;
        for (long now = 0; now <= 8_000; now += gapMillis) {
            spent += fresh.trySpend(request, now) ? request : 0;
        }
        assertTrue(spent <= 8 * 1_000 + 2_000 + request, spent + " spent");
    }
}
