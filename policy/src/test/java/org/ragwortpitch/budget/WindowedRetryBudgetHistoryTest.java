package org.ragwortpitch.budget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a fleet whose daemons together send more repeats in a window than ratio and slack allow, while daemons
 * restart, join unseen by others, start without a list of the others, or reload their settings, and sends arrive late.
 * Nearly all sends fail.
 */
class WindowedRetryBudgetHistoryTest {

    private static final int STEP_MILLIS = 50;

    private static final int HISTORY_MILLIS = 32_000;

    private static final int WINDOW_MILLIS = 10_000;

    private static final double RATIO = 0.2;

    private static final double SLACK = 54;

    private static final double REQUESTS_PER_SECOND = 70;

    private static final int DAEMONS = 7;

    private static final int SPARE_DAEMONS = 2;

    @ParameterizedTest
    @CsvSource({"1, 5000", "5001, 5000"})
    void testNoWindowExceedsTheBudget(long firstSeed, int historyCount) {
        for (long seed = firstSeed; seed < firstSeed + historyCount; seed++) {
            double used = new History(seed, false).run();
            assertTrue(used <= 1, "seed " + seed + ": repeats are " + used + " of the budget in some window");
        }
    }

    /** Shows that the histories are hard enough: with a whole share from the start, some exceed the budget. */
    @Test
    void testWholeShareFromTheStartExceedsTheBudget() {
        boolean exceeded = false;
        for (long seed = 1; seed <= 500 && !exceeded; seed++) {
            exceeded = new History(seed, true).run() > 1;
        }
        assertTrue(exceeded, "no history exceeded the budget although each restarted daemon had a whole share");
    }

    /** One random history. */
    private static final class History {

        private final Random random;
        private final boolean wholeShareAtRestart;
        private final List<Member> members = new ArrayList<>();
        private final int[] requests = new int[HISTORY_MILLIS / STEP_MILLIS];
        private final int[] repeats = new int[HISTORY_MILLIS / STEP_MILLIS];
        private long stalledUntilMillis;

        History(long seed, boolean wholeShareAtRestart) {
            this.random = new Random(seed);
            this.wholeShareAtRestart = wholeShareAtRestart;
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                members.add(new Member(wholeShareAtRestart, true, 0));
            }
        }

        double run() {
            for (int step = 0; step < requests.length; step++) {
                long nowMillis = (long) step * STEP_MILLIS;
                injectFaults(nowMillis);
                sendRequests(step, nowMillis);
                for (Member member : members) {
                    repeats[step] += member.deliver(nowMillis);
                }
            }
            return maxUsed();
        }

        private void injectFaults(long nowMillis) {
            int running = members.size();
            members.forEach(member -> member.readList(running, nowMillis));
            if (random.nextInt(80) == 0) {
                Member member = members.get(random.nextInt(running));
                switch (random.nextInt(3)) {
                    case 0 -> member.restart(nowMillis + 500 + random.nextInt(1_500), random.nextInt(4_000));
                    case 1 -> member.listUnreadUntilMillis = nowMillis + random.nextInt(5_000);
                    default -> member.budget.configure(RATIO, SLACK, WINDOW_MILLIS);
                }
            }
            if (random.nextInt(300) == 0) {
                stalledUntilMillis = nowMillis + random.nextInt(6_000);
            }
            if (random.nextInt(300) == 0) {
                members.forEach(member -> member.restart(nowMillis + 500 + random.nextInt(1_500), 0));
            }
            if (running < DAEMONS + SPARE_DAEMONS && random.nextInt(300) == 0) {
                members.add(new Member(wholeShareAtRestart, false, nowMillis));
            }
        }

        private void sendRequests(int step, long nowMillis) {
            double expected = REQUESTS_PER_SECOND * STEP_MILLIS / 1_000;
            int count = (int) (expected * 2 * random.nextDouble() + random.nextDouble());
            for (int request = 0; request < count; request++) {
                requests[step]++;
                Member member = members.get(random.nextInt(members.size()));
                if (member.runningFromMillis > nowMillis) {
                    continue;
                }
                member.budget.recordRequest(nowMillis);
                for (int retry = 0; retry < 4 && random.nextInt(10) > 0; retry++) {
                    member.tryRetry(nowMillis, Math.max(stalledUntilMillis, nowMillis + random.nextInt(1_000)));
                }
            }
        }

        /** Returns the largest part of the budget that the repeats of a window used. */
        private double maxUsed() {
            int window = WINDOW_MILLIS / STEP_MILLIS;
            double max = 0;
            for (int from = 0; from + window <= repeats.length; from++) {
                double most = Math.max(
                        sum(requests, from, window),
                        Math.max(sum(requests, from - window, window), sum(requests, from - window / 2, window)));
                max = Math.max(max, sum(repeats, from, window) / (RATIO * most + SLACK));
            }
            return max;
        }

        private static int sum(int[] counts, int from, int window) {
            int sum = 0;
            for (int step = Math.max(0, from); step < from + window; step++) {
                sum += counts[step];
            }
            return sum;
        }
    }

    /** A simulated daemon. */
    private static final class Member {

        private final boolean wholeShareAtRestart;
        private final List<Long> arrivals = new ArrayList<>();
        private WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, SLACK, WINDOW_MILLIS);
        private RetryShares shares;
        private OptionalInt fleetSize = OptionalInt.empty();
        private long runningFromMillis;
        private long listUnreadUntilMillis;

        Member(boolean wholeShareAtRestart, boolean firstStart, long nowMillis) {
            this.wholeShareAtRestart = wholeShareAtRestart;
            this.shares = new RetryShares(firstStart, nowMillis);
            this.runningFromMillis = nowMillis;
        }

        void restart(long fromMillis, long unreadMillis) {
            runningFromMillis = Math.max(runningFromMillis, fromMillis);
            listUnreadUntilMillis = Math.max(listUnreadUntilMillis, runningFromMillis + unreadMillis);
            fleetSize = wholeShareAtRestart ? OptionalInt.of(1) : OptionalInt.empty();
            shares = new RetryShares(wholeShareAtRestart, runningFromMillis);
            arrivals.clear();
            budget = new WindowedRetryBudget(RATIO, SLACK, WINDOW_MILLIS);
        }

        void readList(int size, long nowMillis) {
            if (nowMillis >= listUnreadUntilMillis && nowMillis >= runningFromMillis) {
                fleetSize = OptionalInt.of(size);
            }
        }

        void tryRetry(long nowMillis, long arrivalMillis) {
            if (budget.tryReserve(1, shares.at(fleetSize, WINDOW_MILLIS, nowMillis), nowMillis)) {
                arrivals.add(arrivalMillis);
            }
        }

        /** Returns how many repeats arrive now. */
        int deliver(long nowMillis) {
            int before = arrivals.size();
            arrivals.removeIf(arrival -> arrival <= nowMillis);
            int delivered = before - arrivals.size();
            budget.settle(delivered, delivered, nowMillis);
            return delivered;
        }
    }
}
