package org.ragwortpitch.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.queue.ArrivalQueue;
import org.ragwortpitch.queue.FairQueue;
import org.ragwortpitch.queue.QueueBounds;
import org.ragwortpitch.queue.RequestQueue;
import org.ragwortpitch.queue.Waiting;

/**
 * How the worst-served account fares while one of five sends five times its share, by arrival and by fair queueing.
 * Each account's share is a fifth of the capacity and the four others send 95 % of it. Arguments: seed, seconds.
 */
final class FairnessMeasurement implements Measurement {

    /**
     * The accounts; the first is the greedy one.
     */
    private static final int ACCOUNTS = 5;

    /**
     * What is served, in tokens a millisecond.
     */
    private static final double TOKENS_PER_MILLI = 10;

    /**
     * How long a request may wait, in milliseconds.
     */
    private static final long DEADLINE_MILLIS = 10_000;

    @Override
    public void run(Arguments arguments, PrintStream table) {
        long seed = arguments.number(0, 1);
        long seconds = arguments.number(1, 600);
        QueueBounds bounds = new QueueBounds(2_000, 1_000);
        table.println("seed,queue,worst_served_percent_of_its_demand,others_p99_wait_ms,jain_index,min_over_mean");
        table.println(seed + ",arrival," + measure(seed, seconds, new ArrivalQueue<>(bounds)));
        table.println(seed + ",fair," + measure(seed, seconds, new FairQueue<>(bounds)));
    }

    /**
     * Measures a queue.
     *
     * @param seed    the seed
     * @param seconds how long
     * @param queue   the queue
     * @return the row without its first columns
     */
    private static String measure(long seed, long seconds, RequestQueue<Request> queue) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] nextMillis = new double[ACCOUNTS];
        double[] demanded = new double[ACCOUNTS];
        double[] served = new double[ACCOUNTS];
        List<Double> waits = new ArrayList<>();
        double freeMillis = 0;
        for (long nowMillis = 0; nowMillis < seconds * 1000; nowMillis++) {
            for (int account = 0; account < ACCOUNTS; account++) {
                while (nextMillis[account] <= nowMillis) {
                    Request request = new Request(account, nowMillis, 100 + random.nextInt(1_800));
                    demanded[account] += request.tokens();
                    queue.add(request.waiting());
                    double share = TOKENS_PER_MILLI / ACCOUNTS * (account == 0 ? 5 : 0.95);
                    nextMillis[account] += -Math.log(1 - random.nextDouble()) * 1_000 / share;
                }
            }
            queue.expire(nowMillis);
            while (freeMillis <= nowMillis) {
                Optional<Waiting<Request>> next = queue.next(request -> true);
                if (next.isEmpty()) {
                    freeMillis = nowMillis + 1;
                    break;
                }
                Request request = next.get().item();
                served[request.account()] += request.tokens();
                freeMillis = Math.max(freeMillis, nowMillis) + request.tokens() / TOKENS_PER_MILLI;
                if (request.account() > 0) {
                    waits.add((double) nowMillis - request.atMillis());
                }
            }
        }
        return row(demanded, served, waits);
    }

    /**
     * Makes a row. The greedy account's demand counts up to its share alone.
     *
     * @param demanded what each account asked for, in tokens
     * @param served   what each account got, in tokens
     * @param waits    the waits of the others, in milliseconds
     * @return the row
     */
    private static String row(double[] demanded, double[] served, List<Double> waits) {
        double worst = 1;
        for (int account = 1; account < ACCOUNTS; account++) {
            worst = Math.min(worst, served[account] / demanded[account]);
        }
        double sum = Arrays.stream(served).sum();
        double squares = Arrays.stream(served).map(each -> each * each).sum();
        double least = Arrays.stream(served).min().orElse(0);
        waits.sort(null);
        double p99 = waits.isEmpty() ? 0 : waits.get((int) (waits.size() * 0.99));
        return String.format(
                "%.1f,%.0f,%.3f,%.3f", 100 * worst, p99, sum * sum / (ACCOUNTS * squares), least / (sum / ACCOUNTS));
    }

    /**
     * A request of the model.
     *
     * @param account  the account's number
     * @param atMillis when it came
     * @param tokens   its cost
     */
    private record Request(int account, long atMillis, long tokens) {

        /**
         * Makes it wait.
         *
         * @return the waiting request
         */
        Waiting<Request> waiting() {
            return new Waiting<>(this, new AccountId("a" + account), 1, tokens, 5, atMillis + DEADLINE_MILLIS);
        }
    }
}
