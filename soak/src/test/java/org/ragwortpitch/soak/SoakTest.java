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
 * Plays random faults and checks the promises, one run for each seed: {@code -Dsoak.first} and {@code -Dsoak.seeds} say
 * which, and the seeds that ever failed are always among them.
 */
class SoakTest {

    private static final int CALLERS = 6;

    private static final long FAULTS_MILLIS = 10_000;

    /** Within this time after the last fault all is served again, in milliseconds; from the users' pages. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long START_MILLIS = 20_000;

    /** Answers in a row that show that all is served again. */
    private static final int SERVED_IN_A_ROW = 60;

    /** Each of so many runs has planned work only. */
    private static final int PLANNED_EACH = 3;

    private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private final List<String> story = new CopyOnWriteArrayList<>();

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
    void testPromisesHoldUnderFaults(long seed) throws Exception {
        boolean planned = seed % PLANNED_EACH == 0;
        try (SoakWorld world = new SoakWorld(seed)) {
            List<Caller> callers = new ArrayList<>();
            ExecutorService threads = Executors.newCachedThreadPool();
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(new Caller(seed * CALLERS + caller, world.daemons(), outcomes::add));
            }
            callers.forEach(threads::execute);
            assertTrue(await(START_MILLIS, this::servedInARow), "nothing is served");
            play(new FaultSource(seed, world), planned);
            boolean recovered = await(RECOVERY_MILLIS, this::servedInARow);
            callers.forEach(Caller::stop);
            threads.shutdown();
            assertTrue(threads.awaitTermination(START_MILLIS, TimeUnit.MILLISECONDS), "callers don't end");
            List<String> broken = new ArrayList<>(Promises.broken(world, List.copyOf(outcomes), planned));
            if (!recovered) {
                broken.add("not all is served again: " + tail());
            }
            assertEquals(List.of(), broken, "seed " + seed + ": " + story);
        }
    }

    private void play(FaultSource source, boolean planned) throws InterruptedException {
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(CALLERS);
        long startMillis = System.currentTimeMillis();
        long atMillis = 0;
        while (atMillis < FAULTS_MILLIS) {
            FaultSource.Fault fault = planned ? source.planned() : source.any();
            clock.schedule(() -> begin(fault, clock, startMillis), atMillis, TimeUnit.MILLISECONDS);
            atMillis += source.pauseMillis();
        }
        Thread.sleep(FAULTS_MILLIS);
        clock.shutdown();
        assertTrue(clock.awaitTermination(START_MILLIS, TimeUnit.MILLISECONDS), "faults don't end");
    }

    /** Faults of one kind at one place may overlap; the first end ends them all. */
    private void begin(FaultSource.Fault fault, ScheduledExecutorService clock, long startMillis) {
        story.add(System.currentTimeMillis() - startMillis + " " + fault.name() + " for " + fault.lastsMillis());
        fault.begin().run();
        try {
            Thread.sleep(fault.lastsMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        fault.end().run();
    }

    private boolean servedInARow() {
        List<Outcome> all = List.copyOf(outcomes);
        return all.size() >= SERVED_IN_A_ROW
                && all.subList(all.size() - SERVED_IN_A_ROW, all.size()).stream()
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
