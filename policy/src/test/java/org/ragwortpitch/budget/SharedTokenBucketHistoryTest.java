package org.ragwortpitch.budget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.InstanceId;

/**
 * Guards against an account that spends more than its limit within any window while daemons restart, are partitioned or
 * lose gossip. Runs random histories in which an account sends several times its rate, and holds every window to the
 * limit that users set for small sites.
 */
class SharedTokenBucketHistoryTest {

    private static final int STEP_MILLIS = 50;

    private static final int HISTORY_MILLIS = 14_000;

    private static final int GOSSIP_ROUND_STEPS = 4;

    /** A daemon that sends no gossip for this long counts as unreachable: three gossip rounds, as in the daemon. */
    private static final long UNREACHABLE_AFTER_MILLIS = 600;

    private static final double MESSAGE_LOSS_RATIO = 0.05;

    /** The initial level of a restarted daemon's bucket, as a fraction of the burst; the same as in the daemon. */
    private static final double RESTART_FILL_RATIO = 0;

    private static final long TOKENS_PER_SECOND = 36_000;

    private static final long BURST_TOKENS = 130_000;

    private static final int WINDOW_MILLIS = 8_000;

    private static final double OVERAGE_RATIO = 0.1;

    private static final long SLACK_TOKENS = 190_000;

    private static final double LIMIT_TOKENS =
            (TOKENS_PER_SECOND * WINDOW_MILLIS / 1_000.0 + BURST_TOKENS) * (1 + OVERAGE_RATIO) + SLACK_TOKENS;

    @ParameterizedTest
    @CsvSource({"1, 5000, 7, 3", "5001, 5000, 7, 7"})
    void testNoWindowExceedsTheLimit(long firstSeed, int historyCount, int daemons, double timesRate) {
        for (long seed = firstSeed; seed < firstSeed + historyCount; seed++) {
            double maxTokens = new History(seed, daemons, timesRate).run();
            assertTrue(
                    maxTokens <= LIMIT_TOKENS,
                    "seed " + seed + ": " + (long) maxTokens + " tokens in a window, above " + (long) LIMIT_TOKENS);
        }
    }

    /** One random history. */
    private static final class History {

        private final Random random;
        private final double timesRate;
        private final List<Member> members = new ArrayList<>();
        private final Deque<long[]> spent = new ArrayDeque<>();
        private long nowMillis;
        private long windowTokens;

        History(long seed, int daemons, double timesRate) {
            this.random = new Random(seed);
            this.timesRate = timesRate;
            for (int daemon = 0; daemon < daemons; daemon++) {
                members.add(new Member(new InstanceId("d" + daemon), daemons));
            }
        }

        double run() {
            double maxTokens = 0;
            for (int step = 0; nowMillis < HISTORY_MILLIS; step++, nowMillis += STEP_MILLIS) {
                injectFaults();
                gossip(step);
                sendRequests();
                while (!spent.isEmpty() && spent.peek()[0] <= nowMillis - WINDOW_MILLIS) {
                    windowTokens -= spent.poll()[1];
                }
                maxTokens = Math.max(maxTokens, windowTokens);
            }
            return maxTokens;
        }

        private void injectFaults() {
            if (random.nextInt(60) == 0) {
                Member member = members.get(random.nextInt(members.size()));
                if (random.nextBoolean()) {
                    member.restart(nowMillis, nowMillis + 1_500);
                } else {
                    member.partitionedUntilMillis = nowMillis + random.nextInt(5_000);
                }
            }
            if (random.nextInt(600) == 0) {
                members.forEach(member -> {
                    if (random.nextBoolean()) {
                        member.restart(nowMillis, nowMillis + 1_500 + random.nextInt(300));
                    }
                });
            }
        }

        private void gossip(int step) {
            for (int from = 0; from < members.size(); from++) {
                for (int to = 0; to < members.size(); to++) {
                    if (from != to
                            && (from + to + step) % GOSSIP_ROUND_STEPS == 0
                            && random.nextDouble() >= MESSAGE_LOSS_RATIO) {
                        members.get(to).receive(from, members.get(from), nowMillis);
                    }
                }
            }
            members.forEach(member -> member.share(nowMillis));
        }

        private void sendRequests() {
            double requestedTokens = TOKENS_PER_SECOND * timesRate * STEP_MILLIS / 1_000;
            while (requestedTokens > 0) {
                long tokens = 500 + (long) (-7_000 * Math.log(1 - random.nextDouble()));
                requestedTokens -= tokens;
                Member member = members.get(random.nextInt(members.size()));
                if (member.runningFromMillis <= nowMillis && member.bucket.trySpend(tokens, nowMillis)) {
                    spent.add(new long[] {nowMillis, tokens});
                    windowTokens += tokens;
                }
            }
        }
    }

    /** A simulated daemon. */
    private static final class Member {

        private final InstanceId id;
        private final long[] receivedMillis;
        private SharedTokenBucket bucket = new SharedTokenBucket(TOKENS_PER_SECOND, BURST_TOKENS, 1, 0);
        private long startMillis;
        private long runningFromMillis;
        private long partitionedUntilMillis;

        Member(InstanceId id, int daemons) {
            this.id = id;
            this.receivedMillis = new long[daemons];
        }

        void restart(long nowMillis, long fromMillis) {
            runningFromMillis = Math.max(runningFromMillis, fromMillis);
            startMillis = nowMillis + 1;
            bucket = new SharedTokenBucket(TOKENS_PER_SECOND, BURST_TOKENS, RESTART_FILL_RATIO, fromMillis);
            java.util.Arrays.fill(receivedMillis, -UNREACHABLE_AFTER_MILLIS);
        }

        void receive(int from, Member other, long nowMillis) {
            boolean connected = Math.max(partitionedUntilMillis, other.partitionedUntilMillis) <= nowMillis;
            if (connected && Math.max(runningFromMillis, other.runningFromMillis) <= nowMillis) {
                receivedMillis[from] = nowMillis;
                bucket.debitPeer(other.id, other.startMillis, other.bucket.spentTokens(), nowMillis);
            }
        }

        void share(long nowMillis) {
            int reachable = 1;
            for (long at : receivedMillis) {
                reachable += nowMillis - at <= UNREACHABLE_AFTER_MILLIS ? 1 : 0;
            }
            bucket.share(Math.min(1, reachable / (double) receivedMillis.length), nowMillis);
        }
    }
}
