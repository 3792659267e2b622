package org.ragwortpitch.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares what callers get with what the endpoints answered to the same request, while endpoints write answers once
 * more and fail some requests. {@code -Dsoak.extra} lists kinds of {@link ExtraAnswer}, {@code -Dsoak.stutterMillis} is
 * for how long each is played, in milliseconds, {@code -Dsoak.callers} the number of callers, and {@code -Dsoak.only}
 * the jar of another version to play.
 */
class StutterTest {

    private static final int CALLERS = Integer.getInteger("soak.callers", 12);

    private static final long START_MILLIS = 60_000;

    private static final int MIN_SUCCESSES = 100;

    static Stream<ExtraAnswer> extraAnswers() {
        String names = System.getProperty("soak.extra", ExtraAnswer.MIXED.name());
        return Arrays.stream(names.split(",")).map(ExtraAnswer::valueOf);
    }

    // Guards against an answer to one request that a caller gets as the answer to another, and against a success that a
    // caller gets where the endpoint answered with a failure.
    @ParameterizedTest
    @MethodSource("extraAnswers")
    void testCallersGetNoAnswerToAnotherRequest(ExtraAnswer extra) throws Exception {
        ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
        long seed = Long.getLong("soak.first", 1) * ExtraAnswer.values().length + extra.ordinal();
        try (SoakWorld world = new SoakWorld(seed)) {
            List<Caller> callers = new ArrayList<>();
            ExecutorService threads = Executors.newCachedThreadPool();
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(new Caller(seed * CALLERS + caller, world.daemons(), outcomes::add));
            }
            callers.forEach(threads::execute);
            long endMillis = System.currentTimeMillis() + START_MILLIS;
            while (outcomes.stream().filter(Outcome::isServed).count() < MIN_SUCCESSES) {
                assertTrue(System.currentTimeMillis() < endMillis, "no service after the start");
                Thread.sleep(50);
            }
            outcomes.clear();
            world.stutter(extra, seed);
            Thread.sleep(Long.getLong("soak.stutterMillis", 3_000));
            callers.forEach(Caller::stop);
            threads.shutdown();
            assertTrue(threads.awaitTermination(START_MILLIS, TimeUnit.MILLISECONDS), "callers did not stop");
            EndpointAnswers answers = new EndpointAnswers(world.endpoints());
            System.out.print(StutterTable.of(extra, List.copyOf(outcomes), answers));
            assertTrue(extra == ExtraAnswer.NONE || world.extraAnswers() > 0, "no answer was written once more");
            assertEquals(List.of(), Guarantees.wrongAnswers(List.copyOf(outcomes), answers));
        }
    }
}
