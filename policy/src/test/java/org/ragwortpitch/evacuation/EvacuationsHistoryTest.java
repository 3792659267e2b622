package org.ragwortpitch.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Tests evacuations over random histories: gossip that is lost, late or repeated, daemons that start anew or are cut
 * off from the store, and a store that comes back from an older copy. Guards against a daemon that obeys an evacuation
 * which was cancelled, or misses one in force.
 */
class EvacuationsHistoryTest {

    private static final List<FailureDomain> DOMAINS =
            List.of(new FailureDomain("a"), new FailureDomain("b"), new FailureDomain("c"));

    private static final int STEPS = 400;

    private static final int DAEMONS = 4;

    @ParameterizedTest
    @ValueSource(longs = {4721, 4722, 4723, 4724, 4725, 4726, 4727, 4728, 4729, 4730, 4731, 4732})
    void testDaemonsThatHaveReadEverythingObeyTheLatestOrders(long seed) {
        History history = new History(seed, true);
        assertEquals(0, history.run(), "steps after which a daemon that had read everything was wrong");
        history.exchange();
        history.daemons.forEach(daemon -> assertEquals(history.inForce(), daemon.known.domains()));
    }

    /** Shows that the histories have what a load guards against: late reports of evacuations that it lacks. */
    @Test
    void testWithoutTheEndOfTheLoadLateReportsReviveEvacuations() {
        assertTrue(IntStream.range(4721, 4733).anyMatch(seed -> new History(seed, false).run() > 0));
    }

    /** A record at the end of a load is newer than the load, whichever is heard first. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testEvacuationAtTheEndOfALoadHolds(boolean recordFirst) {
        EvacuationOrder record = new EvacuationOrder(DOMAINS.get(0), new StorePosition(1, 7), true);
        EvacuationOrder before = new EvacuationOrder(DOMAINS.get(0), new StorePosition(1, 3), true);
        StorePosition end = new StorePosition(1, 7);
        Evacuations known = Evacuations.NONE.with(before);
        known = recordFirst
                ? known.with(record).load(end, List.of())
                : known.load(end, List.of()).with(record);
        assertEquals(Set.of(DOMAINS.get(0)), known.domains());
        assertEquals(known, known.with(record).with(before), "repeated and late reports change nothing");
    }

    private static final class Daemon {

        private Evacuations known = Evacuations.NONE;
        private long era = -1;
        private int offset;
        private boolean cut;
    }

    private static final class History {

        private final Random random;
        private final boolean loadsEnd;
        private final List<EvacuationOrder> log = new ArrayList<>();
        private final List<EvacuationOrder> sent = new ArrayList<>();
        private final List<Daemon> daemons = new ArrayList<>();
        private long era = 1;

        History(long seed, boolean loadsEnd) {
            this.random = new Random(seed);
            this.loadsEnd = loadsEnd;
            IntStream.range(0, DAEMONS).forEach(index -> daemons.add(new Daemon()));
        }

        int run() {
            int wrong = 0;
            for (int step = 0; step < STEPS; step++) {
                step(daemons.get(random.nextInt(DAEMONS)));
                wrong += daemons.stream()
                                .anyMatch(daemon -> hasReadAll(daemon)
                                        && !daemon.known.domains().equals(inForce()))
                        ? 1
                        : 0;
            }
            return wrong;
        }

        private void step(Daemon daemon) {
            switch (random.nextInt(16)) {
                case 0, 1 -> log.add(order(DOMAINS.get(random.nextInt(DOMAINS.size())), random.nextBoolean()));
                case 2 -> daemon.cut = !daemon.cut && daemon != daemons.get(0);
                case 3 -> {
                    daemons.set(daemons.indexOf(daemon), new Daemon());
                }
                case 4 -> restoreRarely();
                case 5, 6, 7, 8 -> read(daemon);
                case 9, 10 -> sent.addAll(daemon.known.orders());
                default -> {
                    if (!sent.isEmpty()) {
                        int late = random.nextInt(sent.size());
                        daemon.known = daemon.known.with(random.nextBoolean() ? sent.get(late) : sent.remove(late));
                    }
                }
            }
        }

        private void restoreRarely() {
            if (random.nextInt(5) == 0) {
                era++;
                List<EvacuationOrder> kept = List.copyOf(log.subList(0, random.nextInt(log.size() + 1)));
                log.clear();
                kept.forEach(order -> log.add(order(order.domain(), order.active())));
            }
        }

        private EvacuationOrder order(FailureDomain domain, boolean active) {
            return new EvacuationOrder(domain, new StorePosition(era, log.size()), active);
        }

        private void read(Daemon daemon) {
            if (daemon.cut) {
                return;
            }
            if (daemon.era != era || random.nextInt(6) == 0) {
                daemon.era = era;
                daemon.offset = log.size();
                daemon.known = load(daemon.known);
                return;
            }
            int until = daemon.offset + random.nextInt(log.size() - daemon.offset + 1);
            log.subList(daemon.offset, until).forEach(order -> daemon.known = daemon.known.with(order));
            daemon.offset = until;
        }

        private Evacuations load(Evacuations known) {
            List<EvacuationOrder> found =
                    newest().values().stream().filter(EvacuationOrder::active).toList();
            Evacuations loaded = known.load(new StorePosition(era, log.size()), found);
            if (loadsEnd) {
                return loaded;
            }
            Evacuations withoutEnd = Evacuations.NONE;
            for (EvacuationOrder order : loaded.orders()) {
                withoutEnd = withoutEnd.with(order);
            }
            return withoutEnd;
        }

        private Map<FailureDomain, EvacuationOrder> newest() {
            Map<FailureDomain, EvacuationOrder> newest = new HashMap<>();
            log.forEach(order -> newest.put(order.domain(), order));
            return newest;
        }

        private boolean hasReadAll(Daemon daemon) {
            return daemon.era == era && daemon.offset == log.size();
        }

        Set<FailureDomain> inForce() {
            Set<FailureDomain> domains = new HashSet<>();
            newest().values().stream().filter(EvacuationOrder::active).forEach(order -> domains.add(order.domain()));
            return domains;
        }

        /** One daemon reads the store, and all others, cut off or not, hear of it from each other. */
        void exchange() {
            Daemon reader = daemons.get(0);
            reader.cut = false;
            reader.era = -1;
            read(reader);
            for (int round = 0; round < 2; round++) {
                for (Daemon from : daemons) {
                    daemons.forEach(to -> from.known.orders().forEach(order -> to.known = to.known.with(order)));
                }
            }
        }
    }
}
