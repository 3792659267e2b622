package org.ragwortpitch.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/**
 * Guards against a bucket that exceeds its rate or burst when unused amounts of reservations are refunded.
 */
class TokenBucketTest {

    @Test
    void testRefundDoesNotExceedTheBurst() {
        TokenBucket bucket = new TokenBucket(10, 100, 1, 0);
        Reservation first = bucket.reserve(100, 10_000).orElseThrow();
        bucket.reserve(100, 20_000).orElseThrow();
        bucket.settle(first, 10, 20_100);
        assertTrue(bucket.levelTokens(20_100) <= 1);
    }

    @Test
    void testUnusedPartIsRefundedUpToTheCapacity() {
        TokenBucket bucket = new TokenBucket(10, 100, 1, 0);
        Reservation first = bucket.reserve(80, 10_000).orElseThrow();
        bucket.settle(first, 30, 11_000);
        assertEquals(80, bucket.levelTokens(11_000));
    }

    @Test
    void testAmountCanBeReservedAfterTheReportedTime() {
        TokenBucket bucket = new TokenBucket(10, 100, 1, 0);
        assertEquals(5_000, bucket.millisUntil(50, 0));
        assertTrue(bucket.reserve(50, 4_999).isEmpty());
        assertTrue(bucket.reserve(50, 5_000).isPresent());
        assertEquals(Long.MAX_VALUE, bucket.millisUntil(101, 5_000));
    }

    @Test
    void testHugeRatesDoNotOverflow() {
        TokenBucket bucket = new TokenBucket(1_000_000_000L, 1_000_000_000_000L, 1, 0);
        assertEquals(1_000_000_000_000L, bucket.levelTokens(Long.MAX_VALUE / 2));
        assertTrue(bucket.reserve(1_000_000_000_000L, Long.MAX_VALUE / 2).isPresent());
    }

    @Property(tries = 3_000, seed = "11", shrinking = ShrinkingMode.OFF)
    void testUsedAmountsKeepRateAndBurst(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TokenBucket bucket = new TokenBucket(10, 100, 1, 0);
        List<long[]> used = new ArrayList<>();
        List<Reservation> open = new ArrayList<>();
        List<Long> amounts = new ArrayList<>();
        long nowMillis = 0;
        for (int step = 0; step < 300; step++) {
            nowMillis += random.nextInt(10) == 0 ? random.nextInt(15_000) : random.nextInt(200);
            if (random.nextBoolean()) {
                long tokens = 1 + random.nextInt(100);
                long spent = random.nextLong(tokens + 1);
                long at = nowMillis;
                bucket.reserve(tokens, nowMillis).ifPresent(reservation -> {
                    open.add(reservation);
                    amounts.add(spent);
                    used.add(new long[] {at, spent});
                });
            } else if (!open.isEmpty()) {
                int which = random.nextInt(open.size());
                bucket.settle(open.remove(which), amounts.remove(which), nowMillis);
            }
        }
        assertTrue(staysWithinLimits(used, 10, 100));
    }

    private static boolean staysWithinLimits(List<long[]> used, double rate, double burst) {
        double level = burst;
        long lastMillis = 0;
        for (long[] each : used) {
            level = Math.min(burst, level + (each[0] - lastMillis) * rate / 1000) - each[1];
            lastMillis = each[0];
            if (level < -0.001) {
                return false;
            }
        }
        return true;
    }
}
