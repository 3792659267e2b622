package org.ragwortpitch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.placement.EngineState;

/**
 * Plays seeded histories of daemons that share engines and know each other's requests by gossip only. One account of 78
 * sends twice as much as all engines can serve; the others send a little. Guards against a share of the others that
 * depends on how much the first one sends, or how, and against engines that are idle or full beyond their capacity.
 */
class AdmissionHistoryTest {

    private static final int STEP_MILLIS = 10;

    private static final int HISTORY_MILLIS = 12_000;

    private static final int WARM_UP_MILLIS = 4_000;

    private static final int GOSSIP_MILLIS = 200;

    private static final int DAEMONS = 5;

    private static final int ENGINES = 3;

    private static final int ACCOUNTS = 78;

    private static final long MAX_WAIT_MILLIS = 2_000;

    /** A request of the first account takes a 26th of an engine. */
    private static final EngineSpec SPEC = new EngineSpec(256, 442_000, 1, 1, 1, 1);

    private static final int TOKENS = 17_000;

    private static final int MIN_RUN_MILLIS = 1_500;

    private static final int RUN_SPREAD_MILLIS = 1_500;

    private static final long RETRY_MILLIS = 200;

    private static final double OTHERS_PER_SECOND = 8;

    /** How the first account or the daemons behave. */
    enum Kind {
        PLAIN,
        /** The first account's requests are the most urgent ones. */
        URGENT,
        /** The first account's requests are small, those of the others large. */
        SMALL,
        /** Callers of the first account come back in 0.2 s, again and again, when they are refused. */
        IMPATIENT,
        /** A daemon is cut off from the others for a quarter of the time. */
        CUT,
        /** A daemon starts again when others have large totals, and knows nothing. */
        RESTARTED,
        /** Control: requests are served in the order of their arrival. */
        FIRST_COME
    }

    @ParameterizedTest
    @EnumSource(value = Kind.class, mode = EnumSource.Mode.EXCLUDE, names = "FIRST_COME")
    void testOtherAccountsAreServedWhateverOneSends(Kind kind) {
        for (long seed = 1; seed <= 2; seed++) {
            History history = new History(kind, seed);
            history.run();
            assertTrue(history.othersServedShare() > 0.9, kind + ", seed " + seed + ": " + history);
            assertTrue(history.busyShare() > 0.85, kind + ", seed " + seed + ": " + history);
            assertTrue(history.fullest < 1.25, kind + ", seed " + seed + ": " + history);
            assertEquals(0, history.servedLate, kind + ", seed " + seed);
        }
    }

    /** Shows that the histories are hard enough: in the order of arrival, other accounts are refused as often. */
    @Test
    void testOrderOfArrivalServesOneAccountAlone() {
        History history = new History(Kind.FIRST_COME, 1);
        history.run();
        assertTrue(history.othersServedShare() < 0.7, history.toString());
    }

    private record Item(int account, long tokens, long arrivedMillis) {}

    private record Running(long endMillis, Daemon daemon, int engine, long tokens) {}

    /** A daemon's own view. */
    private static final class Daemon {

        private final InstanceId id;
        private final List<EngineState> engines = new ArrayList<>();
        private final AdmissionQueue<Item> queue = new AdmissionQueue<>(new AdmissionBounds(64, Long.MAX_VALUE));
        private final ServiceRate rate = new ServiceRate();
        private ServedTokens served = new ServedTokens();
        private long incarnation = 1;
        private Optional<EngineState> found = Optional.empty();

        Daemon(int index) {
            id = new InstanceId("d" + index);
            for (int engine = 0; engine < ENGINES; engine++) {
                Endpoint endpoint = new Endpoint(
                        new EndpointId("e" + engine),
                        new PoolId("p"),
                        "10.0.0.1:80",
                        new FailureDomain("d"),
                        64,
                        false,
                        EndpointRole.DECODE,
                        0,
                        false,
                        OptionalLong.empty(),
                        SoftwareVersion.UNSTATED);
                engines.add(new EngineState(endpoint, SPEC));
            }
        }

        void hear(Daemon peer, long nowMillis) {
            for (int engine = 0; engine < ENGINES; engine++) {
                engines.get(engine)
                        .updatePeerLoad(peer.id, peer.engines.get(engine).load(other -> false));
            }
            peer.served.forEachOwn(
                    (account, tokens) -> served.recordPeer(peer.id, peer.incarnation, account, tokens, nowMillis));
        }
    }

    private static final class History {

        private final Kind kind;
        private final Random random;
        private final List<Daemon> daemons = new ArrayList<>();
        private final PriorityQueue<Running> running =
                new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
        private final Map<Boolean, int[]> arrivedAndServed = new TreeMap<>();
        private final Map<Long, Integer> retries = new HashMap<>();
        private final long[] committed = new long[ENGINES];
        private double busy;
        private double fullest;
        private int servedLate;
        private long nowMillis;

        History(Kind kind, long seed) {
            this.kind = kind;
            this.random = new Random(seed);
            for (int index = 0; index < DAEMONS; index++) {
                daemons.add(new Daemon(index));
            }
            arrivedAndServed.put(true, new int[2]);
            arrivedAndServed.put(false, new int[2]);
        }

        void run() {
            double capacityPerSecond = ENGINES * 26 / ((MIN_RUN_MILLIS + RUN_SPREAD_MILLIS / 2) / 1_000.0);
            double firstPerSecond = 2 * capacityPerSecond * TOKENS / tokens(0);
            for (; nowMillis < HISTORY_MILLIS; nowMillis += STEP_MILLIS) {
                endRequests();
                arrive(firstPerSecond, () -> 0);
                arrive(OTHERS_PER_SECOND, () -> 1 + random.nextInt(ACCOUNTS - 1));
                for (int retry = 0; retry < retries.getOrDefault(nowMillis, 0); retry++) {
                    enter(daemons.get(random.nextInt(DAEMONS)), 0);
                }
                restartSome();
                gossip();
                daemons.forEach(this::serve);
                record();
            }
        }

        private long tokens(int account) {
            return account == 0 && kind == Kind.SMALL ? TOKENS / 5 : TOKENS;
        }

        private void arrive(double perSecond, IntSupplier account) {
            double expected = perSecond * STEP_MILLIS / 1_000;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int request = 0; request < count; request++) {
                int sender = account.getAsInt();
                count(sender, 0);
                enter(daemons.get(random.nextInt(DAEMONS)), sender);
            }
        }

        private void enter(Daemon daemon, int account) {
            Item item = new Item(account, tokens(account), nowMillis);
            int priority = kind == Kind.URGENT && account > 0 ? 3 : 0;
            AccountId id = new AccountId(kind == Kind.FIRST_COME ? "all" : "a" + account);
            long latest = nowMillis + MAX_WAIT_MILLIS;
            daemon.queue.add(new WaitingRequest<>(item, id, 1, priority, item.tokens(), 1, nowMillis, latest));
        }

        private void count(int account, int figure) {
            if (nowMillis >= WARM_UP_MILLIS) {
                arrivedAndServed.get(account == 0)[figure]++;
            }
        }

        private void endRequests() {
            while (!running.isEmpty() && running.peek().endMillis() <= nowMillis) {
                Running ended = running.remove();
                ended.daemon().engines.get(ended.engine()).requestEnded(ended.tokens());
                committed[ended.engine()] -= ended.tokens();
            }
        }

        private void restartSome() {
            if (kind == Kind.RESTARTED && nowMillis == HISTORY_MILLIS / 2) {
                daemons.get(0).served = new ServedTokens();
                daemons.get(0).incarnation++;
            }
        }

        private void gossip() {
            boolean cut = kind == Kind.CUT && nowMillis % 6_000 < 1_500;
            for (int index = 0; index < DAEMONS; index++) {
                if ((nowMillis / STEP_MILLIS + 3L * index) % (GOSSIP_MILLIS / STEP_MILLIS) == 0) {
                    Daemon sender = daemons.get(index);
                    for (Daemon other : daemons) {
                        boolean lost = cut && (sender == daemons.get(0) || other == daemons.get(0));
                        if (other != sender && !lost && random.nextInt(20) > 0) {
                            other.hear(sender, nowMillis);
                        }
                    }
                }
            }
        }

        private void serve(Daemon daemon) {
            Optional<WaitingRequest<Item>> next = next(daemon);
            while (next.isPresent()) {
                place(daemon, next.get());
                next = next(daemon);
            }
            List<WaitingRequest<Item>> refused = daemon.queue.removeLate(
                    account -> daemon.served.recent(account, nowMillis),
                    daemon.rate.tokensPerMilli(nowMillis),
                    nowMillis);
            refused.addAll(daemon.queue.removeExcess(nowMillis));
            for (WaitingRequest<Item> request : refused) {
                if (kind == Kind.IMPATIENT && request.item().account() == 0) {
                    retries.merge(nowMillis + RETRY_MILLIS, 1, Integer::sum);
                }
            }
        }

        private Optional<WaitingRequest<Item>> next(Daemon daemon) {
            EngineReservation reservation = new EngineReservation();
            return daemon.queue.next(
                    account -> daemon.served.recent(account, nowMillis),
                    request -> {
                        daemon.found = daemon.engines.stream()
                                .filter(engine ->
                                        reservation.allows(engine) && EngineRoom.fits(engine, request.tokens()))
                                .max(Comparator.comparingLong(EngineRoom::freeTokens));
                        if (daemon.found.isEmpty() && kind != Kind.FIRST_COME) {
                            reservation.recordBlocked(request, daemon.engines, nowMillis);
                        }
                        return daemon.found.isPresent();
                    },
                    nowMillis);
        }

        private void place(Daemon daemon, WaitingRequest<Item> request) {
            EngineState engine = daemon.found.orElseThrow();
            int index = daemon.engines.indexOf(engine);
            engine.requestStarted(request.tokens(), 0);
            committed[index] += request.tokens();
            daemon.served.record(request.account(), request.tokens(), nowMillis);
            daemon.rate.record(request.tokens(), nowMillis);
            long endMillis = nowMillis + MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS);
            running.add(new Running(endMillis, daemon, index, request.tokens()));
            count(request.item().account(), 1);
            servedLate += nowMillis - request.item().arrivedMillis() > MAX_WAIT_MILLIS ? 1 : 0;
        }

        private void record() {
            if (nowMillis < WARM_UP_MILLIS) {
                return;
            }
            for (long tokens : committed) {
                double share = tokens / (double) SPEC.kvCapacityTokens();
                busy += share * STEP_MILLIS / ENGINES / (HISTORY_MILLIS - WARM_UP_MILLIS);
                fullest = Math.max(fullest, share);
            }
        }

        double othersServedShare() {
            return arrivedAndServed.get(false)[1] / (double) arrivedAndServed.get(false)[0];
        }

        double busyShare() {
            return busy;
        }

        @Override
        public String toString() {
            return "others served " + othersServedShare() + ", first account "
                    + arrivedAndServed.get(true)[1] / (double) arrivedAndServed.get(true)[0] + ", engines busy " + busy
                    + ", fullest " + fullest;
        }
    }
}
