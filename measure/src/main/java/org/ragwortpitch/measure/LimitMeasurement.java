package org.ragwortpitch.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragwortpitch.limit.Bucket;
import org.ragwortpitch.limit.Reservation;

/**
 * Refusals of an account that stays within its rate, over 7 daemons with skewed arrivals: one home with loans, against
 * a static share for each daemon, and against one owner that only its own callers reach. A request within the rate is
 * one that a single bucket of the whole account would admit. Arguments: seed, seconds.
 */
final class LimitMeasurement implements Measurement {

    /**
     * How many daemons there are.
     */
    private static final int DAEMONS = 7;

    /**
     * The account's rate, in tokens a second.
     */
    private static final long RATE = 9_000;

    /**
     * The account's burst, in tokens.
     */
    private static final long BURST = 60_000;

    /**
     * The mean of a request, in tokens as a bound.
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
     * Measures at a load.
     *
     * @param seed    the seed
     * @param seconds how long
     * @param load    the load, in percent of the rate
     * @return the row
     */
    private static String measure(long seed, long seconds, int load) {
        SplittableRandom random = new SplittableRandom(seed);
        Bucket home = new Bucket(RATE, BURST, 1, -100_000);
        List<Bucket> shares = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            shares.add(new Bucket(RATE, BURST, DAEMONS, -100_000));
        }
        double gapMillis = 1000.0 * MEAN_TOKENS / (RATE * load / 100.0);
        double nowMillis = 0;
        long requests = 0;
        long homeRefused = 0;
        long shareRefused = 0;
        long ownerRefused = 0;
        long loans = 0;
        while (nowMillis < seconds * 1000.0) {
            nowMillis += -Math.log(1 - random.nextDouble()) * gapMillis;
            long tokens = 200 + random.nextLong(2 * (MEAN_TOKENS - 200));
            long used = tokens / 2 + random.nextLong(tokens / 2);
            int daemon = daemon(random);
            requests++;
            homeRefused += take(home, tokens, used, (long) nowMillis) ? 0 : 1;
            shareRefused += take(shares.get(daemon), tokens, used, (long) nowMillis) ? 0 : 1;
            ownerRefused += daemon == 0 ? 0 : 1;
            loans += daemon == 0 ? 0 : 1;
        }
        return String.format(
                "%d,%d,%d,%.3f,%.3f,%.3f,%.1f",
                seed,
                load,
                requests,
                100.0 * homeRefused / requests,
                100.0 * shareRefused / requests,
                100.0 * ownerRefused / requests,
                100.0 * loans / requests);
    }

    /**
     * Chooses the daemon that a caller uses: most know the home, the others follow an older answer.
     *
     * @param random the source
     * @return the daemon
     */
    private static int daemon(SplittableRandom random) {
        return random.nextInt(100) < 80 ? 0 : random.nextInt(DAEMONS);
    }

    /**
     * Takes from a bucket and gives back what was not used.
     *
     * @param bucket    the bucket
     * @param tokens    the bound
     * @param used      what was used
     * @param nowMillis the present time
     * @return whether it was there
     */
    private static boolean take(Bucket bucket, long tokens, long used, long nowMillis) {
        Reservation reservation = bucket.reserve(tokens, nowMillis).orElse(null);
        if (reservation == null) {
            return false;
        }
        bucket.settle(reservation, used, nowMillis);
        return true;
    }
}
