package org.ragwortpitch.allowance;

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
 * Plays random histories of daemons that let one account spend, and holds every window to the limit that the users set
 * for the small sites: daemons are killed and start anew, are cut off from the others, datagrams get lost, and the
 * account sends several times its rate.
 */
class SharedBucketHistoryTest {

    private static final int STEP_MILLIS = 50;

    private static final int LENGTH_MILLIS = 14_000;

    private static final int ROUND_STEPS = 4;

    /** After this time without a word a daemon counts as unknown: three rounds, as in the daemon. */
    private static final long SILENT_MILLIS = 600;

    private static final double LOST_SHARE = 0.05;

    /** What a restarted daemon's bucket holds, as a part of the burst; the daemon's own figure. */
    private static final double FILLED = 0;

    private static final long RATE = 36_000;

    private static final long BURST = 130_000;

    private static final int WINDOW_MILLIS = 8_000;

    private static final double OVERAGE = 0.1;

    private static final long SLACK = 190_000;

    private static final double LIMIT = (RATE * WINDOW_MILLIS / 1_000.0 + BURST) * (1 + OVERAGE) + SLACK;

    @ParameterizedTest
    @CsvSource({"1, 5000, 7, 3", "5001, 5000, 7, 7"})
    void testNoWindowExceedsTheLimit(long firstSeed, int histories, int daemons, double timesRate) {
        for (long seed = firstSeed; seed < firstSeed + histories; seed++) {
            double most = new History(seed, daemons, timesRate).play();
            assertTrue(
                    most <= LIMIT, "seed " + seed + ": " + (long) most + " tokens in a window, above " + (long) LIMIT);
        }
    }

    /**
     * One history.
     */
    private static final class History {

        private final Random random;
        private final double timesRate;
        private final List<Member> members = new ArrayList<>();
        private final Deque<long[]> spent = new ArrayDeque<>();
        private long nowMillis;
        private long inWindow;

        History(long seed, int daemons, double timesRate) {
            this.random = new Random(seed);
            this.timesRate = timesRate;
            for (int daemon = 0; daemon < daemons; daemon++) {
                members.add(new Member(new InstanceId("d" + daemon), daemons));
            }
        }

        double play() {
            double most = 0;
            for (int step = 0; nowMillis < LENGTH_MILLIS; step++, nowMillis += STEP_MILLIS) {
                disturb();
                gossip(step);
                ask();
                while (!spent.isEmpty() && spent.peek()[0] <= nowMillis - WINDOW_MILLIS) {
                    inWindow -= spent.poll()[1];
                }
                most = Math.max(most, inWindow);
            }
            return most;
        }

        private void disturb() {
            if (random.nextInt(60) == 0) {
                Member member = members.get(random.nextInt(members.size()));
                if (random.nextBoolean()) {
                    member.restart(nowMillis, nowMillis + 1_500);
                } else {
                    member.cutUntilMillis = nowMillis + random.nextInt(5_000);
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
                    if (from != to && (from + to + step) % ROUND_STEPS == 0 && random.nextDouble() >= LOST_SHARE) {
                        members.get(to).hear(from, members.get(from), nowMillis);
                    }
                }
            }
            members.forEach(member -> member.share(nowMillis));
        }

        private void ask() {
            double askedTokens = RATE * timesRate * STEP_MILLIS / 1_000;
            while (askedTokens > 0) {
                long tokens = 500 + (long) (-7_000 * Math.log(1 - random.nextDouble()));
                askedTokens -= tokens;
                Member member = members.get(random.nextInt(members.size()));
                if (member.aliveFromMillis <= nowMillis && member.bucket.trySpend(tokens, nowMillis)) {
                    spent.add(new long[] {nowMillis, tokens});
                    inWindow += tokens;
                }
            }
        }
    }

    /**
     * A daemon.
     */
    private static final class Member {

        private final InstanceId id;
        private final long[] heardMillis;
        private SharedBucket bucket = new SharedBucket(RATE, BURST, 1, 0);
        private long bornMillis;
        private long aliveFromMillis;
        private long cutUntilMillis;

        Member(InstanceId id, int daemons) {
            this.id = id;
            this.heardMillis = new long[daemons];
        }

        void restart(long nowMillis, long fromMillis) {
            aliveFromMillis = Math.max(aliveFromMillis, fromMillis);
            bornMillis = nowMillis + 1;
            bucket = new SharedBucket(RATE, BURST, FILLED, fromMillis);
            java.util.Arrays.fill(heardMillis, -SILENT_MILLIS);
        }

        void hear(int from, Member other, long nowMillis) {
            boolean reached = Math.max(cutUntilMillis, other.cutUntilMillis) <= nowMillis;
            if (reached && Math.max(aliveFromMillis, other.aliveFromMillis) <= nowMillis) {
                heardMillis[from] = nowMillis;
                bucket.peerSpent(other.id, other.bornMillis, other.bucket.spentTokens(), nowMillis);
            }
        }

        void share(long nowMillis) {
            int heard = 1;
            for (long at : heardMillis) {
                heard += nowMillis - at <= SILENT_MILLIS ? 1 : 0;
            }
            bucket.share(Math.min(1, heard / (double) heardMillis.length), nowMillis);
        }
    }
}
