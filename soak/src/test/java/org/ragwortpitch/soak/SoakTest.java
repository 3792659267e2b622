package org.ragwortpitch.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects random faults into a running system and checks its guarantees, once for each seed. {@code -Dsoak.first} is
 * the first seed and {@code -Dsoak.seeds} their number; every seed that once failed is always run as well.
 */
class SoakTest {

    private static final int CALLERS = 6;

    private static final long FAULTS_MILLIS = 10_000;

    /** When a daemon is partitioned from all endpoints, in milliseconds. */
    private static final long PARTITION_MILLIS = 1_500;

    /** When endpoints begin to write answers twice, in milliseconds. */
    private static final long STUTTER_MILLIS = 500;

    /** Required recovery time after the last fault, in milliseconds; the users' documentation demands it. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long START_MILLIS = 20_000;

    /** Consecutive successful responses after which the system counts as recovered. */
    private static final int MIN_CONSECUTIVE_SUCCESSES = 60;

    /** Every n-th seed runs with planned operations only. */
    private static final int PLANNED_EVERY = 3;

    private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private final List<String> faultLog = new CopyOnWriteArrayList<>();

    static Stream<Long> seeds() throws IOException {
        try (var regressions = SoakTest.class.getResourceAsStream("/soak/regressions.txt")) {
            Stream<Long> known = new String(regressions.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.isBlank() && !line.startsWith("#"))
                    .map(line -> Long.parseLong(line.split(" ")[0]));
            long first = Long.getLong("soak.first", 1);
            return Stream.concat(
                    known.toList().stream(),
                    LongStream.range(first, first + Long.getLong("soak.seeds", 1))
                            .boxed());
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void testGuaranteesHoldUnderFaults(long seed) throws Exception {
        boolean planned = seed % PLANNED_EVERY == 0;
        try (SoakWorld world = new SoakWorld(seed)) {
            List<Caller> callers = new ArrayList<>();
            ExecutorService threads = Executors.newCachedThreadPool();
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(new Caller(seed * CALLERS + caller, world.daemons(), outcomes::add));
            }
            callers.forEach(threads::execute);
            assertTrue(await(START_MILLIS, this::allRecentlyServed), "no steady service after the start");
            injectFaults(new FaultSource(seed, world), planned);
            boolean recovered = await(RECOVERY_MILLIS, this::allRecentlyServed);
            callers.forEach(Caller::stop);
            threads.shutdown();
            assertTrue(threads.awaitTermination(START_MILLIS, TimeUnit.MILLISECONDS), "callers did not stop");
            List<String> violations = new ArrayList<>(Guarantees.violations(world, List.copyOf(outcomes), planned));
            if (!recovered) {
                violations.add("not recovered after the last fault: " + tail());
            }
            assertEquals(List.of(), violations, "seed " + seed + ": " + faultLog);
        }
    }

    private void injectFaults(FaultSource source, boolean planned) throws InterruptedException {
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(CALLERS);
        long startMillis = System.currentTimeMillis();
        if (!planned) {
            clock.schedule(
                    () -> begin(source.partition(), clock, startMillis), PARTITION_MILLIS, TimeUnit.MILLISECONDS);
            clock.schedule(() -> begin(source.stutter(), clock, startMillis), STUTTER_MILLIS, TimeUnit.MILLISECONDS);
        }
        long atMillis = 0;
        while (atMillis < FAULTS_MILLIS) {
            FaultSource.Fault fault = planned ? source.planned() : source.anyFault();
            clock.schedule(() -> begin(fault, clock, startMillis), atMillis, TimeUnit.MILLISECONDS);
            atMillis += source.pauseMillis();
        }
        Thread.sleep(FAULTS_MILLIS);
        clock.shutdown();
        assertTrue(clock.awaitTermination(START_MILLIS, TimeUnit.MILLISECONDS), "faults did not end");
    }

    /** Applies a fault for its duration. If equal faults overlap on one target, the first end ends all of them. */
    private void begin(FaultSource.Fault fault, ScheduledExecutorService clock, long startMillis) {
        faultLog.add(System.currentTimeMillis() - startMillis + " " + fault.name() + " for " + fault.lastsMillis());
        fault.begin().run();
        try {
            Thread.sleep(fault.lastsMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        fault.end().run();
    }

    private boolean allRecentlyServed() {
        List<Outcome> all = List.copyOf(outcomes);
        return all.size() >= MIN_CONSECUTIVE_SUCCESSES
                && all.subList(all.size() - MIN_CONSECUTIVE_SUCCESSES, all.size()).stream()
                        .allMatch(Outcome::isServed);
    }

    private List<Outcome> tail() {
        List<Outcome> all = List.copyOf(outcomes);
        return all.subList(Math.max(0, all.size() - 10), all.size());
    }

    private static boolean await(long withinMillis, BooleanSupplier condition) throws InterruptedException {
        long end = System.currentTimeMillis() + withinMillis;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > end) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }
}
