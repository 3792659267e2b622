package org.ragwortpitch.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * Guards against a cold endpoint that gets more requests than it takes, from all daemons together, while daemons are
 * frozen, partitioned, cut off from the store or restarted, all at once too, while clocks and lists of the fleet differ
 * and daemons lend slots. The endpoint starts during traffic, and turns cold again later. Each daemon alone would send
 * more than it takes.
 */
class ColdEndpointHistoryTest {

    private static final long STEP_MILLIS = 25;

    private static final long START_MILLIS = 5_000;

    private static final long WARM_MILLIS = 25_000;

    private static final long COLD_AGAIN_MILLIS = 32_000;

    private static final long END_MILLIS = 45_000;

    /** Until the endpoint has stated that it is cold again, nobody can know. */
    private static final long STATED_WITHIN_MILLIS = 1_000;

    private static final long READ_MILLIS = 600;

    private static final long GOSSIP_MILLIS = 200;

    private static final double MESSAGE_LOSS_RATIO = 0.05;

    private static final long MAX_CLOCK_SKEW_MILLIS = 100;

    /** The requests a second that each daemon would send to the endpoint. */
    private static final double WANTED_PER_SECOND = 6;

    private static final Endpoint ENDPOINT = new Endpoint(
            new EndpointId("i-1"),
            new PoolId("llm"),
            "10.0.0.1:80",
            new FailureDomain("a"),
            8,
            false,
            EndpointRole.MIXED,
            1,
            false,
            OptionalLong.empty(),
            SoftwareVersion.UNSTATED);

    private static double bound(double perSecond) {
        return perSecond * 1.5 + 5;
    }

    @ParameterizedTest
    @CsvSource({"1, 300, 7, 7.3", "1001, 300, 7, 2", "2001, 300, 7, 0.5", "3001, 30, 40, 7.3", "4001, 100, 7, 0"})
    void testAllDaemonsTogetherStayWithinWhatAColdEndpointTakes(
            long firstSeed, int histories, int daemons, double perSecond) {
        for (long seed = firstSeed; seed < firstSeed + histories; seed++) {
            History history = new History(seed, daemons, perSecond, true, true);
            history.run();
            assertTrue(
                    history.mostInASecond() <= bound(perSecond),
                    "seed " + seed + ": " + history.mostInASecond() + " requests in a second");
        }
    }

    /** Shows that the histories are hard enough: with the whole rate for each daemon, the endpoint gets too much. */
    @Test
    void testWholeRateForEachDaemonExceedsIt() {
        History history = new History(1, 7, 7.3, false, true);
        history.run();
        assertTrue(history.mostInASecond() > bound(7.3), history.mostInASecond() + " requests in a second");
    }

    /** Guards against cold endpoints that idle where few daemons have requests, and against lent slots used twice. */
    @Test
    void testDaemonsWithoutRequestsLendTheirSlots() {
        History kept = new History(1, 7, 7.3, true, false);
        kept.idleDaemons = 5;
        kept.faults = false;
        kept.run();
        History lent = new History(1, 7, 7.3, true, true);
        lent.idleDaemons = 5;
        lent.faults = false;
        lent.run();
        assertTrue(lent.counted.size() >= 2 * kept.counted.size(), lent.counted.size() + ", " + kept.counted.size());
        assertTrue(lent.mostInASecond() <= bound(7.3), lent.mostInASecond() + " requests in a second");
    }

    /** Guards against requests to an endpoint that takes none while cold, but for those that find out. */
    @Test
    void testRateOfZeroSendsNothing() {
        History history = new History(1, 7, 0, true, true);
        history.faults = false;
        history.run();
        assertEquals(List.of(), history.counted);
    }

    /** One random history. */
    private static final class History {

        private final Random random;
        private final OptionalDouble perSecond;
        private final boolean shared;
        private final boolean lending;
        private final List<Member> members = new ArrayList<>();
        private final List<Long> counted = new ArrayList<>();
        private int idleDaemons;
        private boolean faults = true;
        private long nowMillis;

        History(long seed, int daemons, double perSecond, boolean shared, boolean lending) {
            this.random = new Random(seed);
            this.perSecond = OptionalDouble.of(perSecond);
            this.shared = shared;
            this.lending = lending;
            for (int daemon = 0; daemon < daemons; daemon++) {
                members.add(new Member(daemon, skew()));
            }
        }

        private long skew() {
            return (long) ((2 * random.nextDouble() - 1) * MAX_CLOCK_SKEW_MILLIS);
        }

        /** What the endpoint states, renewed once a second. */
        private long statedMillis() {
            long atMillis = nowMillis - nowMillis % STATED_WITHIN_MILLIS;
            long untilMillis = atMillis < COLD_AGAIN_MILLIS ? WARM_MILLIS : END_MILLIS;
            return atMillis < WARM_MILLIS || atMillis >= COLD_AGAIN_MILLIS ? untilMillis - atMillis : 0;
        }

        void run() {
            long restartAllMillis = faults ? START_MILLIS + random.nextInt(40_000) : Long.MAX_VALUE;
            for (; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
                if (faults) {
                    injectFaults();
                    if (nowMillis <= restartAllMillis && restartAllMillis < nowMillis + STEP_MILLIS) {
                        members.forEach(member -> member.restart(nowMillis + 1_500, random.nextInt(1_000), skew()));
                    }
                }
                for (Member member : members) {
                    if (member.frozenUntilMillis <= nowMillis && member.runningFromMillis <= nowMillis) {
                        step(member);
                    }
                }
            }
        }

        private void injectFaults() {
            Member member = members.get(random.nextInt(members.size()));
            if (random.nextInt(60) == 0) {
                long untilMillis = nowMillis + random.nextInt(6_000);
                switch (random.nextInt(4)) {
                    case 0 -> member.restart(nowMillis + 1_500, random.nextInt(3_000), skew());
                    case 1 -> member.partitionedUntilMillis = untilMillis;
                    case 2 -> member.frozenUntilMillis = untilMillis;
                    default -> member.storeLostUntilMillis = untilMillis;
                }
            }
            if (random.nextInt(800) == 0) {
                members.add(new Member(members.size(), skew()));
            }
        }

        private void step(Member member) {
            member.inbox.forEach(Runnable::run);
            member.inbox.clear();
            if (nowMillis >= member.storeLostUntilMillis && nowMillis >= member.nextReadMillis) {
                member.nextReadMillis = nowMillis + READ_MILLIS;
                read(member);
            }
            if (nowMillis % GOSSIP_MILLIS == 0) {
                gossip(member);
            }
            send(member);
        }

        private void read(Member member) {
            member.fleet = Optional.of(members.stream().map(peer -> peer.id).toList());
            member.listed = nowMillis >= START_MILLIS;
            List<Endpoint> listed = member.listed ? List.of(ENDPOINT) : List.of();
            long statedMillis = statedMillis();
            if (!member.cold
                    .recordListed(listed.stream().map(Endpoint::incarnation).toList(), nowMillis)
                    .isEmpty()) {
                member.cold.record(ENDPOINT.incarnation(), WARM_MILLIS - START_MILLIS, nowMillis);
            }
            if (member.listed) {
                member.cold.record(ENDPOINT.incarnation(), statedMillis, nowMillis);
            }
        }

        private void gossip(Member sender) {
            Optional<Member> borrower = Optional.empty();
            OptionalLong lent = OptionalLong.empty();
            if (lending && isIdle(sender) && sender.isCold(nowMillis) && perSecond.getAsDouble() > 0) {
                lent = sender.pacer.lend(
                        sender.id, () -> sender.fleet, wallMillis(sender), 2 * GOSSIP_MILLIS + 100, perSecond);
                borrower = Optional.of(members.get(random.nextInt(members.size() - idleDaemons)));
            }
            for (Member receiver : members) {
                if (receiver == sender
                        || sender.partitionedUntilMillis > nowMillis
                        || receiver.partitionedUntilMillis > nowMillis
                        || random.nextDouble() < MESSAGE_LOSS_RATIO) {
                    continue;
                }
                sender.cold
                        .changedSince(Long.MIN_VALUE, nowMillis)
                        .forEach((endpoint, millis) ->
                                receiver.inbox.add(() -> receiver.cold.record(endpoint, millis, nowMillis)));
                if (lent.isPresent() && borrower.get() == receiver) {
                    long slot = lent.getAsLong();
                    receiver.inbox.add(() -> receiver.pacer.borrow(slot, wallMillis(receiver), perSecond));
                }
            }
        }

        /** Where no daemon is always idle, any may take itself for idle, and may be wrong. */
        private boolean isIdle(Member member) {
            return idleDaemons > 0 ? members.indexOf(member) >= members.size() - idleDaemons : random.nextInt(4) == 0;
        }

        private long wallMillis(Member member) {
            return nowMillis + 1_780_000_000_000L + member.skewMillis;
        }

        private void send(Member member) {
            boolean idle = idleDaemons > 0 && isIdle(member);
            int requests = idle ? 0 : (int) (WANTED_PER_SECOND * STEP_MILLIS / 1_000 + random.nextDouble());
            Optional<Collection<InstanceId>> fleet = shared ? member.fleet : Optional.of(List.of(member.id));
            for (int request = 0; request < requests && member.listed; request++) {
                OptionalDouble cold = member.isCold(nowMillis) ? perSecond : OptionalDouble.empty();
                if (!member.pacer.isOpen(member.id, fleet, wallMillis(member), cold)) {
                    return;
                }
                member.pacer.sent(wallMillis(member), cold);
                if (nowMillis < WARM_MILLIS || nowMillis >= COLD_AGAIN_MILLIS + STATED_WITHIN_MILLIS) {
                    counted.add(nowMillis);
                }
                // The response states the time too.
                member.cold.record(ENDPOINT.incarnation(), statedMillis(), nowMillis);
            }
        }

        int mostInASecond() {
            int most = 0;
            Deque<Long> window = new ArrayDeque<>();
            for (long atMillis : counted) {
                window.addLast(atMillis);
                while (window.getFirst() <= atMillis - 1_000) {
                    window.removeFirst();
                }
                most = Math.max(most, window.size());
            }
            return most;
        }
    }

    /** A simulated daemon. */
    private static final class Member {

        private final InstanceId id;
        private final List<Runnable> inbox = new ArrayList<>();
        private EndpointPacer pacer;
        private ColdEndpoints cold;
        private Optional<Collection<InstanceId>> fleet;
        private boolean listed;
        private long skewMillis;
        private long runningFromMillis;
        private long nextReadMillis;
        private long partitionedUntilMillis;
        private long storeLostUntilMillis;
        private long frozenUntilMillis;

        Member(int number, long skewMillis) {
            this.id = new InstanceId("front-" + number);
            restart(0, 0, skewMillis);
        }

        void restart(long fromMillis, long unreadMillis, long newSkewMillis) {
            runningFromMillis = Math.max(runningFromMillis, fromMillis);
            storeLostUntilMillis = Math.max(storeLostUntilMillis, fromMillis + unreadMillis);
            skewMillis = newSkewMillis;
            pacer = new EndpointPacer(ENDPOINT.id());
            cold = new ColdEndpoints();
            fleet = Optional.empty();
            listed = false;
            inbox.clear();
        }

        boolean isCold(long nowMillis) {
            return cold.remainingMillis(ENDPOINT, nowMillis) > 0;
        }
    }
}
