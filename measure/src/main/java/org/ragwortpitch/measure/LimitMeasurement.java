package org.ragwortpitch.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragwortpitch.limit.Reservation;
import org.ragwortpitch.limit.TokenBucket;

/**
 * Simulates the refusals of a client account over 7 daemons with skewed arrivals under three designs: one owner of the
 * quota with borrowed quota on the other daemons, a static share of the quota on each daemon, and one owner without
 * borrowing, which serves only the callers that reach it. The yardstick is a single token bucket for the whole account:
 * a request that it admits is within the rate. Arguments: seed, seconds.
 */
final class LimitMeasurement implements Measurement {

    /**
     * Number of daemons; the first owns the account's quota.
     */
    private static final int DAEMONS = 7;

    /**
     * Rate of the client account, in tokens a second.
     */
    private static final long RATE = 9_000;

    /**
     * Burst of the client account, in tokens.
     */
    private static final long BURST = 60_000;

    /**
     * Mean upper bound of a request's tokens, which is what a request reserves.
     */
    private static final long MEAN_TOKENS = 1_500;

    @Override
    public void run(Arguments arguments, PrintStream table) {
        long seed = arguments.number(0, 1);
        long seconds = arguments.number(1, 3_600);
        table.println("seed,load_percent_of_rate,requests,home_with_loans_refused_percent,"
                + "static_shares_refused_percent,owner_without_loans_refused_percent,loans_percent");
        for (int load : new int[] {50, 80, 90, 500}) {
            table.println(measure(seed, seconds, load));
        }
    }

    /**
     * Simulates one load.
     *
     * @param seconds the simulated time, in seconds
     * @param load    the load, in percent of the rate
     * @return the table row
     */
    private static String measure(long seed, long seconds, int load) {
        SplittableRandom random = new SplittableRandom(seed);
        TokenBucket ownerBucket = new TokenBucket(RATE, BURST, 1, -100_000);
        List<TokenBucket> shares = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            shares.add(new TokenBucket(RATE, BURST, DAEMONS, -100_000));
        }
        double gapMillis = 1000.0 * MEAN_TOKENS / (RATE * load / 100.0);
        double nowMillis = 0;
        long requests = 0;
        long borrowingRefused = 0;
        long shareRefused = 0;
        long nonBorrowingRefused = 0;
        long borrowed = 0;
        while (nowMillis < seconds * 1000.0) {
            nowMillis += -Math.log(1 - random.nextDouble()) * gapMillis;
            long tokens = 200 + random.nextLong(2 * (MEAN_TOKENS - 200));
            long used = tokens / 2 + random.nextLong(tokens / 2);
            int daemon = daemon(random);
            requests++;
            borrowingRefused += reserveAndSettle(ownerBucket, tokens, used, (long) nowMillis) ? 0 : 1;
            shareRefused += reserveAndSettle(shares.get(daemon), tokens, used, (long) nowMillis) ? 0 : 1;
            nonBorrowingRefused += daemon == 0 ? 0 : 1;
            borrowed += daemon == 0 ? 0 : 1;
        }
        return String.format(
                "%d,%d,%d,%.3f,%.3f,%.3f,%.1f",
                seed,
                load,
                requests,
                100.0 * borrowingRefused / requests,
                100.0 * shareRefused / requests,
                100.0 * nonBorrowingRefused / requests,
                100.0 * borrowed / requests);
    }

    /**
     * Draws the daemon that a caller uses: most callers know the owner, the others use an outdated address.
     */
    private static int daemon(SplittableRandom random) {
        return random.nextInt(100) < 80 ? 0 : random.nextInt(DAEMONS);
    }

    /**
     * Reserves tokens from a bucket and refunds the unused ones at once.
     *
     * @param tokens upper bound of the request's tokens
     * @param used   tokens actually used
     * @return whether the reservation was granted
     */
    private static boolean reserveAndSettle(TokenBucket bucket, long tokens, long used, long nowMillis) {
        Reservation reservation = bucket.reserve(tokens, nowMillis).orElse(null);
        if (reservation == null) {
            return false;
        }
        bucket.settle(reservation, used, nowMillis);
        return true;
    }
}
