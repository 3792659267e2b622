package org.ragwortpitch.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.membership.StoreReaders.Candidate;

/**
 * Guards against a fleet in which no daemon reads the store closely although some reach it, or in which nearly all do,
 * while daemons are killed, stand still, and are cut off from the store or from each other.
 */
class StoreReadersTest {

    private static final int STEP_MILLIS = 250;

    private static final int REACHABLE_MILLIS = 1_500;

    /** Longest that a daemon takes to notice that the store no longer answers it. */
    private static final int NOTICE_MILLIS = 5_000;

    /** Time after the last fault within which the choice has settled: noticing, then silence of the ended daemons. */
    private static final int SETTLED_MILLIS = 10_000;

    private static List<Candidate> candidates(String names) {
        return Arrays.stream(names.split(" "))
                .map(name -> new Candidate(new InstanceId(name), new FailureDomain(name.substring(0, 1))))
                .toList();
    }

    /** The first of each failure domain come first, then the second ones. */
    @ParameterizedTest
    @CsvSource({
        "a1, a1",
        "a1 a2 a3 a4 a5, a1 a2 a3",
        "a1 a2 b1 b2 c1 c2, a1 b1 c1",
        "e1 d1 c1 b2 b3, b2 c1 d1",
        "a1 a2 a3 b1, a1 a2 b1"
    })
    void testReadersAreSpreadOverFailureDomains(String fleet, String readers) {
        List<Candidate> all = candidates(fleet);
        List<String> chosen = all.stream()
                .filter(self -> StoreReaders.includes(
                        self, all.stream().filter(other -> !other.equals(self)).toList()))
                .map(candidate -> candidate.id().value())
                .sorted()
                .toList();
        assertEquals(List.of(readers.split(" ")), chosen);
    }

    @ParameterizedTest
    @CsvSource({"1, 2500, 7, 3", "10001, 200, 23, 3", "20001, 40, 95, 5"})
    void testSomeDaemonThatReachesTheStoreIsAReader(long firstSeed, int historyCount, int daemons, int domains) {
        for (long seed = firstSeed; seed < firstSeed + historyCount; seed++) {
            History history = new History(seed, daemons, domains, true);
            history.run();
            assertEquals(
                    0, history.unread, "seed " + seed + ": settled moments without a reader that reaches the store");
            assertTrue(
                    history.mostReaders <= StoreReaders.COUNT,
                    "seed " + seed + ": " + history.mostReaders + " readers in a settled fleet");
        }
    }

    /** Shows that a daemon's word that it reaches the store is needed: without it, cut readers keep all others away. */
    @Test
    void testFleetThatCountsReadersWhichAreCutOffFromTheStoreHasNone() {
        int unread = 0;
        for (long seed = 1; seed <= 2_500; seed++) {
            History history = new History(seed, 7, 3, false);
            history.run();
            unread += history.unread;
        }
        assertTrue(unread > 0, "no history is hard enough");
    }

    /** One random history, with faults in its first half. */
    private static final class History {

        private static final int FAULT_MILLIS = 20_000;

        private static final int END_MILLIS = FAULT_MILLIS + SETTLED_MILLIS + 4_000;

        private final Random random;
        private final boolean tellsStore;
        private final List<Member> members = new ArrayList<>();
        private int unread;
        private int mostReaders;

        History(long seed, int daemons, int domains, boolean tellsStore) {
            this.random = new Random(seed);
            this.tellsStore = tellsStore;
            IntStream.range(0, daemons)
                    .forEach(daemon -> members.add(new Member(new Candidate(
                            new InstanceId("d" + daemon), new FailureDomain("zone-" + daemon % domains)))));
        }

        void run() {
            for (long nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
                long now = nowMillis;
                if (now < FAULT_MILLIS && random.nextInt(8) == 0) {
                    injectFault(now);
                }
                members.stream().filter(member -> member.runs(now)).forEach(member -> member.notice(now));
                exchangeGossip(now);
                if (now >= FAULT_MILLIS + SETTLED_MILLIS) {
                    check(now);
                }
            }
        }

        private void injectFault(long now) {
            Member member = members.get(random.nextInt(members.size()));
            long untilMillis = random.nextInt(3) == 0 ? Long.MAX_VALUE : Math.min(FAULT_MILLIS, now + 6_000);
            switch (random.nextInt(4)) {
                case 0 -> member.stoppedUntilMillis = untilMillis;
                case 1 -> member.silentUntilMillis = Math.min(FAULT_MILLIS, untilMillis);
                default -> member.noStoreUntilMillis = untilMillis;
            }
        }

        private void exchangeGossip(long now) {
            for (Member from : members) {
                for (Member to : members) {
                    if (from != to
                            && from.runs(now)
                            && to.runs(now)
                            && from.silentUntilMillis <= now
                            && to.silentUntilMillis <= now
                            && random.nextInt(20) > 0) {
                        to.heardMillis.put(from, now);
                        to.toldStore.put(from, from.believesStore);
                    }
                }
            }
        }

        private void check(long now) {
            List<Member> running =
                    members.stream().filter(member -> member.runs(now)).toList();
            List<Member> readers =
                    running.stream().filter(member -> isReader(member, now)).toList();
            boolean canRead = running.stream().anyMatch(member -> member.noStoreUntilMillis <= now);
            if (canRead && readers.stream().noneMatch(member -> member.noStoreUntilMillis <= now)) {
                unread++;
            }
            mostReaders = Math.max(mostReaders, (int) readers.stream()
                    .filter(member -> member.noStoreUntilMillis <= now)
                    .count());
        }

        private boolean isReader(Member member, long now) {
            return StoreReaders.includes(
                    member.candidate,
                    member.heardMillis.entrySet().stream()
                            .filter(heard -> now - heard.getValue() <= REACHABLE_MILLIS)
                            .map(Map.Entry::getKey)
                            .filter(other -> !tellsStore || member.toldStore.get(other))
                            .map(other -> other.candidate)
                            .toList());
        }
    }

    /** A simulated daemon. */
    private static final class Member {

        private final Candidate candidate;
        private final Map<Member, Long> heardMillis = new HashMap<>();
        private final Map<Member, Boolean> toldStore = new HashMap<>();
        private long stoppedUntilMillis;
        private long silentUntilMillis;
        private long noStoreUntilMillis;
        private long lastReadMillis;
        private boolean believesStore = true;

        Member(Candidate candidate) {
            this.candidate = candidate;
        }

        boolean runs(long now) {
            return stoppedUntilMillis <= now;
        }

        void notice(long now) {
            if (noStoreUntilMillis <= now) {
                lastReadMillis = now;
            }
            believesStore = now - lastReadMillis < NOTICE_MILLIS;
        }
    }
}
