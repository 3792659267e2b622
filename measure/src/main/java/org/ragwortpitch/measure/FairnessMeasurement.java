package org.ragwortpitch.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.queue.FairQueue;
import org.ragwortpitch.queue.FifoQueue;
import org.ragwortpitch.queue.QueueBounds;
import org.ragwortpitch.queue.QueuedRequest;
import org.ragwortpitch.queue.RequestQueue;

/**
 * Simulates the service of five client accounts under FIFO and under fair queueing. Each account's share is a fifth of
 * the capacity; one account sends five times its share and the four others send 95 % of theirs. Arguments: seed,
 * seconds.
 */
final class FairnessMeasurement implements Measurement {

    /**
     * Number of client accounts; the first is the one that exceeds its share.
     */
    private static final int ACCOUNTS = 5;

    /**
     * Service rate, in tokens a millisecond.
     */
    private static final double TOKENS_PER_MILLI = 10;

    /**
     * Longest time a request may wait in the queue, in milliseconds.
     */
    private static final long DEADLINE_MILLIS = 10_000;

    @Override
    public void run(Arguments arguments, PrintStream table) {
        long seed = arguments.number(0, 1);
        long seconds = arguments.number(1, 600);
        QueueBounds bounds = new QueueBounds(2_000, 1_000);
        table.println("seed,queue,worst_served_percent_of_its_demand,others_p99_wait_ms,jain_index,min_over_mean");
        table.println(seed + ",arrival," + measure(seed, seconds, new FifoQueue<>(bounds)));
        table.println(seed + ",fair," + measure(seed, seconds, new FairQueue<>(bounds)));
    }

    /**
     * Simulates one queue.
     *
     * @param seconds the simulated time, in seconds
     * @return the table row without the seed and queue columns
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
                Optional<QueuedRequest<Request>> next = queue.next(request -> true);
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
     * Formats a table row. The worst-served account is sought among those within their share.
     *
     * @param demanded demand by account, in tokens
     * @param served   service by account, in tokens
     * @param waits    queue waits of the accounts within their share, in milliseconds
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
     * A simulated request.
     *
     * @param account  the account's number, from 0
     * @param atMillis arrival time, in milliseconds
     * @param tokens   cost, in tokens
     */
    private record Request(int account, long atMillis, long tokens) {

        /**
         * Returns the queue entry for this request.
         */
        QueuedRequest<Request> waiting() {
            return new QueuedRequest<>(this, new AccountId("a" + account), 1, tokens, 5, atMillis + DEADLINE_MILLIS);
        }
    }
}
