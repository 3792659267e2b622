package org.ragwortpitch.overflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.overflow.OverflowModel.LoadPattern;

/**
 * Plays patterns of demand in three domains of 100 tokens a millisecond each. Guards against overloaded targets,
 * against oscillation with figures 2 s old, and against demand that stays away after its domain has room again.
 */
class OverflowModelTest {

    private static final FailureDomain A = new FailureDomain("a");

    private static final FailureDomain B = new FailureDomain("b");

    private static final FailureDomain C = new FailureDomain("c");

    private static final List<FailureDomain> DOMAINS = List.of(A, B, C);

    private static final long STEP_AT_MILLIS = 10_000;

    private static final long END_MILLIS = 60_000;

    private static final int STEADY_STEPS = 200;

    private static final LongPredicate NO_CUT = now -> false;

    private static final LoadPattern TWICE_THE_DEMAND = pattern(60, 120, 100);

    private static final LoadPattern HALF_THE_ENGINES = pattern(60, 60, 50);

    private static final LoadPattern ALL_FULL = new Pattern(Map.of(A, 120.0, B, 95.0, C, 95.0), 120, 100);

    /** Domain a's demand and capacity change at the step; the others have a demand of 40. */
    private static LoadPattern pattern(double before, double after, double capacityAfter) {
        return new Pattern(Map.of(A, before, B, 40.0, C, 40.0), after, capacityAfter);
    }

    private record Pattern(Map<FailureDomain, Double> demands, double demandAfter, double capacityAfter)
            implements LoadPattern {

        @Override
        public double demand(FailureDomain domain, long nowMillis) {
            return domain.equals(A) && nowMillis >= STEP_AT_MILLIS ? demandAfter : demands.get(domain);
        }

        @Override
        public double capacity(FailureDomain domain, long nowMillis) {
            return domain.equals(A) && nowMillis >= STEP_AT_MILLIS ? capacityAfter : 100;
        }
    }

    /** Demand that swings by 60 around 70 within 20 s, with another phase in each domain. */
    private static final LoadPattern SWINGS = new LoadPattern() {
        @Override
        public double demand(FailureDomain domain, long nowMillis) {
            double phase = DOMAINS.indexOf(domain) / (double) DOMAINS.size();
            return 70 + 60 * Math.sin(2 * Math.PI * (nowMillis / 20_000.0 + phase));
        }

        @Override
        public double capacity(FailureDomain domain, long nowMillis) {
            return 100;
        }
    };

    private static OverflowModel play(ModelRouters router, LoadPattern pattern, long delayMillis, LongPredicate cut) {
        OverflowModel model = new OverflowModel(DOMAINS, router, delayMillis, cut);
        model.play(0, END_MILLIS, pattern);
        return model;
    }

    /** Cases: pattern, age of the figures, share of domain a that has to leave. */
    static Stream<Arguments> steps() {
        return Stream.of(500L, 2_000L)
                .flatMap(delay -> Stream.of(
                        Arguments.of("twice the demand", TWICE_THE_DEMAND, delay, 40 / 120.0),
                        Arguments.of("half of the engines", HALF_THE_ENGINES, delay, 20 / 60.0)));
    }

    @ParameterizedTest
    @MethodSource("steps")
    void testExcessLeavesAndSettles(String name, LoadPattern pattern, long delayMillis, double share) {
        OverflowModel model = play(ModelRouters.SHARED_FORMULA, pattern, delayMillis, NO_CUT);
        assertTrue(model.sentShare(A, STEADY_STEPS) <= share + 0.01, "more than the excess");
        assertTrue(model.sentShare(A, STEADY_STEPS) >= share * 0.8, "share " + model.sentShare(A, STEADY_STEPS));
        assertTrue(model.oscillationPerSecond(A, STEADY_STEPS) < 0.005, "oscillates");
        assertTrue(model.settledMillis(A, STEP_AT_MILLIS) < 8_000, "takes " + model.settledMillis(A, STEP_AT_MILLIS));
        assertTrue(40 + model.received(B, STEADY_STEPS) <= 80.1, "target overloaded");
    }

    @Test
    void testNothingMovesWhenAllDomainsAreFull() {
        OverflowModel model = play(ModelRouters.SHARED_FORMULA, ALL_FULL, 500, NO_CUT);
        assertEquals(0, model.sentShare(A, STEADY_STEPS));
    }

    @Test
    void testDemandReturnsWhenThereIsRoomAgain() {
        OverflowModel model = play(ModelRouters.SHARED_FORMULA, TWICE_THE_DEMAND, 500, NO_CUT);
        model.play(0, 5_000, pattern(60, 120, 100));
        assertTrue(model.sentShare(A, 10) < 0.01, "share " + model.sentShare(A, 10));
    }

    @Test
    void testDaemonCutOffFromOneDomainSendsLess() {
        OverflowModel model = play(ModelRouters.SHARED_FORMULA, TWICE_THE_DEMAND, 500, now -> now > 30_000);
        assertTrue(model.daemonShare(A, 0) < 0.6 * model.daemonShare(A, 1), "cut off: " + model.daemonShare(A, 0));
        assertTrue(model.daemonShare(A, 0) > 0, "the other domain is still known");
        assertTrue(40 + model.received(B, STEADY_STEPS) <= 80.1, "target overloaded");
    }

    @Test
    void testSwingsWithDifferentPhasesOverloadNoTargetForLong() {
        OverflowModel alone = play(ModelRouters.QUEUE_THRESHOLD, SWINGS, 2_000, NO_CUT);
        OverflowModel shared = play(ModelRouters.SHARED_FORMULA, SWINGS, 2_000, NO_CUT);
        assertTrue(
                shared.oscillationPerSecond(A, STEADY_STEPS) < alone.oscillationPerSecond(A, STEADY_STEPS) / 3,
                "oscillation " + shared.oscillationPerSecond(A, STEADY_STEPS));
    }

    /**
     * Prints the figures of the design note.
     */
    @ParameterizedTest
    @EnumSource(ModelRouters.class)
    void testFiguresOfTheDesignNote(ModelRouters router) {
        Map<String, LoadPattern> patterns = Map.of(
                "step", TWICE_THE_DEMAND, "lost engines", HALF_THE_ENGINES, "all full", ALL_FULL, "swings", SWINGS);
        patterns.forEach((name, pattern) -> print(router, name, play(router, pattern, 2_000, NO_CUT)));
        print(router, "cut", play(router, TWICE_THE_DEMAND, 2_000, now -> now > 30_000));
    }

    private static void print(ModelRouters router, String name, OverflowModel model) {
        System.out.printf(
                Locale.ROOT,
                "%s | %s | sent %.2f | oscillation %.3f/s | settled after %.1f s | longest wait %.1f s%n",
                router,
                name,
                model.sentShare(A, STEADY_STEPS),
                model.oscillationPerSecond(A, STEADY_STEPS),
                model.settledMillis(A, STEP_AT_MILLIS) / 1_000.0,
                model.longestWaitMillis() / 1_000);
    }
}
