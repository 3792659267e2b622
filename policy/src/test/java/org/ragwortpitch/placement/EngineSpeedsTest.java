package org.ragwortpitch.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.InstanceId;

/**
 * Tests what daemons learn of engines that take other times than the nominal ones, alone and by gossip.
 */
class EngineSpeedsTest {

    private static final FailureDomain DOMAIN = new FailureDomain("here");

    private static final Generation TYPICAL = prompt(3_000, 12_000);

    private static final long SECOND = 1_000;

    private static Generation prompt(int uncached, int prompt) {
        return new Generation(
                prompt, 100, List.of(new PrefixBlock(1, prompt - uncached), new PrefixBlock(uncached, uncached)));
    }

    /** A daemon that sends prompts of all lengths to engines of its own and learns from them. */
    private static final class Learner {

        private final Random random;
        private final EngineSpeeds speeds = new EngineSpeeds();
        private final List<EngineState> engines;

        Learner(int engines, long seed) {
            random = new Random(seed);
            this.engines = IntStream.range(0, engines)
                    .mapToObj(index -> EngineChooserTest.engine("r" + index, EndpointRole.PREFILL, DOMAIN))
                    .toList();
        }

        EngineState engine(int index) {
            return engines.get(index);
        }

        void prefill(int index, EngineSpeed actual, double noise, long nowMillis) {
            int uncached = 200 + random.nextInt(8_000);
            int prompt = uncached + random.nextInt(12_000);
            double millis = actual.prefillMillis(uncached, prompt) * (1 + noise * (2 * random.nextDouble() - 1));
            QueueWatch queue = engine(index).watchQueue();
            queue.end();
            speeds.recordPrefill(queue, uncached, prompt, millis, nowMillis);
            speeds.refresh(engines, nowMillis);
        }

        double typicalMillis(int index) {
            return engine(index).speed().prefillMillis(3_000, 12_000);
        }
    }

    private static EngineSpeed actual(double rate, double setupMillis) {
        return new EngineSpeed(rate, setupMillis, 47, 5.5);
    }

    /** Guards against estimates that stay at the nominal figures, or take a low set-up for a high throughput. */
    @ParameterizedTest
    @CsvSource({"51, 20", "62, 50", "93, 35", "93, 120", "37, 50"})
    void testEnginesOfAnotherSpeedAreLearnedWithinAMinute(double rate, double setupMillis) {
        Learner learner = new Learner(10, 1);
        EngineSpeed actual = actual(rate, setupMillis);
        for (int sample = 0; sample < 120; sample++) {
            learner.prefill(sample % 10, actual, 0.1, sample * SECOND / 2);
        }
        EngineSpeed learned = learner.speeds.speed(EngineChooserTest.engine("r", EndpointRole.PREFILL, DOMAIN)
                .endpoint()
                .pool());
        for (int uncached : new int[] {300, 3_000, 8_000}) {
            double expected = actual.prefillMillis(uncached, 12_000);
            assertEquals(expected, learner.engine(0).speed().prefillMillis(uncached, 12_000), 0.15 * expected);
            assertEquals(expected, learned.prefillMillis(uncached, 12_000), 0.2 * expected);
        }
    }

    /** Guards against one figure for a pool of mixed engines, and against a bound above a single sample's. */
    @Test
    void testEnginesOfOnePoolAreToldApart() {
        Learner learner = new Learner(9, 2);
        double[] ratios = {0.7, 1, 1.7};
        for (int sample = 0; sample < 360; sample++) {
            double ratio = ratios[sample % 3];
            learner.prefill(sample % 9, actual(62 / ratio, 30 * ratio), 0.1, sample * SECOND / 6);
        }
        for (int index = 0; index < 9; index++) {
            double ratio = ratios[index % 3];
            double expected = actual(62 / ratio, 30 * ratio).prefillMillis(3_000, 12_000);
            assertEquals(expected, learner.typicalMillis(index), 0.25 * expected, "engine " + index);
        }
    }

    /** Guards against slowness that is kept after an engine has recovered, with and without requests that show it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void testEngineThatSlowsDownAndRecoversIsForgiven(boolean used) {
        Learner learner = new Learner(4, 3);
        EngineSpeed slow = EngineSpeed.NOMINAL.prefillScaled(2.5);
        for (int sample = 0; sample < 40; sample++) {
            learner.prefill(sample % 4, sample % 4 == 0 ? slow : EngineSpeed.NOMINAL, 0, sample * SECOND / 2);
        }
        assertTrue(
                learner.engine(0).slowness() > 1.6,
                "slowness " + learner.engine(0).slowness());
        for (int sample = 0; sample < 80; sample++) {
            learner.prefill(used ? sample % 4 : 1 + sample % 3, EngineSpeed.NOMINAL, 0, (20 + sample) * SECOND);
        }
        assertEquals(1, learner.engine(0).slowness(), 0.1);
    }

    /** Guards against a single sample, such as a request delayed by a crash, that decides on an engine. */
    @Test
    void testEffectOfOneSampleIsBounded() {
        Learner learner = new Learner(2, 4);
        learner.prefill(0, EngineSpeed.NOMINAL.prefillScaled(50), 0, 0);
        assertTrue(learner.engine(0).slowness() > 1.1 && learner.engine(0).slowness() < 1.5);
    }

    /** Guards against a prompt that was cached unknown to the daemon, and is taken for a fast engine. */
    @Test
    void testTimesThatNoEngineTakesTellNothing() {
        Learner learner = new Learner(1, 14);
        for (int sample = 0; sample < 20; sample++) {
            learner.prefill(0, actual(5_000, 5), 0, sample * SECOND);
            learner.speeds.recordPauses(learner.engine(0), 2, sample * SECOND);
        }
        assertEquals(EngineSpeed.NOMINAL, learner.engine(0).speed());
    }

    /** Guards against engines that start at the nominal figures in a pool that has others. */
    @Test
    void testNewEngineStartsWithThePoolsFigures() {
        Learner learner = new Learner(4, 5);
        for (int sample = 0; sample < 120; sample++) {
            learner.prefill(sample % 4, actual(93, 30), 0, sample * SECOND / 2);
        }
        EngineState started = EngineChooserTest.engine("new", EndpointRole.PREFILL, DOMAIN);
        learner.speeds.refresh(List.of(started), 60 * SECOND);
        double expected = actual(93, 30).prefillMillis(3_000, 12_000);
        assertEquals(expected, started.speed().prefillMillis(3_000, 12_000), 0.2 * expected);
    }

    /** Guards against a queue of other daemons' requests, told by later gossip, that is taken for a slow engine. */
    @ParameterizedTest
    @CsvSource({"30000, 1, 1", "0, 1.3, 3"})
    void testBurstIsNotTakenForSlowness(long peerTokens, double minSlowness, double maxSlowness) {
        Learner learner = new Learner(2, 6);
        EngineState engine = learner.engine(0);
        for (int sample = 0; sample < 10; sample++) {
            QueueWatch queue = engine.watchQueue();
            InstanceId peer = new InstanceId("peer");
            engine.updatePeerLoad(peer, new PeerLoad(3, 30_000, peerTokens));
            engine.updatePeerLoad(peer, new PeerLoad(0, 0, 0));
            queue.end();
            learner.speeds.recordPrefill(queue, 3_000, 12_000, 900, sample * SECOND);
        }
        learner.speeds.refresh(learner.engines, 10 * SECOND);
        assertTrue(engine.slowness() >= minSlowness && engine.slowness() <= maxSlowness, "is " + engine.slowness());
    }

    /** Guards against daemons that learn from their own few requests alone: each sees one of an engine that is slow. */
    @Test
    void testReportsOfDaemonsAddUp() {
        Learner started = new Learner(2, 7);
        EngineSpeed slow = EngineSpeed.NOMINAL.prefillScaled(2.5);
        for (int daemon = 0; daemon < 20; daemon++) {
            Learner learner = new Learner(2, daemon);
            learner.prefill(0, slow, 0, 0);
            learner.prefill(1, EngineSpeed.NOMINAL, 0, 0);
            for (int index = 0; index < 2; index++) {
                SpeedReport report =
                        learner.engine(index).ownSpeedReport(SECOND).orElseThrow();
                InstanceId source = new InstanceId("d" + daemon);
                assertTrue(started.speeds.learn(started.engine(index), source, report, SECOND));
            }
        }
        started.speeds.refresh(started.engines, SECOND);
        assertEquals(2.5, started.typicalMillis(0) / started.typicalMillis(1), 0.5);
        SpeedReport domain = started.engine(0).speedReport(peer -> true, SECOND).orElseThrow();
        assertEquals(20, domain.samples(), 1, "a digest counts the samples of its domain");
    }

    /** Guards against figures that are no speeds, or so old that the engine may have changed, in another's report. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 5, 0",
        "-60, -10, 5, 0",
        "NaN, NaN, 5, 0",
        "Infinity, 1e300, 5, 0",
        "1e-9, 1e9, 5, 0",
        "60, 50, 0, 0",
        "60, 50, -3, 0",
        "60, 50, 5, 600001"
    })
    void testUnusableReportChangesNothing(double rate, double setupMillis, int samples, long ageMillis) {
        Learner learner = new Learner(1, 8);
        SpeedReport report =
                new SpeedReport(new EngineSpeed(rate, setupMillis, 0, 0), samples, 700 * SECOND - ageMillis);
        assertFalse(learner.speeds.learn(learner.engine(0), new InstanceId("odd"), report, 700 * SECOND));
        learner.speeds.refresh(learner.engines, 700 * SECOND);
        assertEquals(EngineSpeed.NOMINAL, learner.engine(0).speed());
    }

    /** Guards against a wrong figure that is taken over beside sound ones, and a count that outweighs all others. */
    @Test
    void testReportIsUsedAsFarAsItIsSound() {
        Learner learner = new Learner(1, 9);
        SpeedReport report = new SpeedReport(new EngineSpeed(74, -5, Double.NaN, 0), Integer.MAX_VALUE, 0);
        assertTrue(report.speed().hasFault());
        assertTrue(learner.speeds.learn(learner.engine(0), new InstanceId("odd"), report, 0));
        learner.speeds.refresh(learner.engines, 0);
        EngineSpeed speed = learner.engine(0).speed();
        assertEquals(74, speed.prefillTokensPerMilli(), 10);
        assertEquals(50, speed.setupMillis(), 1e-9);
        assertEquals(47, speed.firstEventMillis(), 1e-9);
    }

    /** Guards against decode figures that stay nominal, and against samples of an engine without a free slot. */
    @ParameterizedTest
    @CsvSource({"0, 120, 3.3", "60, 47, 5.5"})
    void testDecodeFiguresAreLearnedWhileThereIsRoom(int running, double firstEventMillis, double stepMillis) {
        Learner learner = new Learner(1, 10);
        EngineState engine = learner.engine(0);
        IntStream.range(0, running).forEach(index -> engine.requestStarted(10, 0));
        double transferMillis = EngineEstimate.transferMillis(engine, TYPICAL);
        for (int sample = 0; sample < 60; sample++) {
            QueueWatch queue = engine.watchQueue();
            queue.end();
            learner.speeds.recordFirstEvent(queue, TYPICAL, 120 + transferMillis, sample * SECOND / 4);
            learner.speeds.recordPauses(engine, 7 * 3.3, sample * SECOND / 4);
        }
        assertEquals(firstEventMillis, engine.speed().firstEventMillis(), 15);
        assertEquals(stepMillis, engine.speed().stepMillis(), 0.5);
    }

    /** Guards against short prompts on the engines that long ones need, and against fast engines that idle. */
    @ParameterizedTest
    @CsvSource({
        "800, 800, 0, false, slow",
        "14000, 14000, 0, false, fast",
        "800, 800, 4000, false, fast",
        "800, 800, 0, true, fast"
    })
    void testFastEnginesAreLeftToLongPrompts(
            int uncached, int promptTokens, long queuedOnSlow, boolean cachedOnFast, String expected) {
        Learner learner = new Learner(6, 13);
        for (int sample = 0; sample < 180; sample++) {
            learner.prefill(sample % 6, actual(62, 30).prefillScaled(sample % 2 == 0 ? 0.7 : 1.7), 0.05, sample * 200);
        }
        List<EngineState> engines = new ArrayList<>(learner.engines);
        engines.add(EngineChooserTest.engine("d", EndpointRole.DECODE, DOMAIN));
        Generation generation = new Generation(
                promptTokens, 100, List.of(new PrefixBlock(1, uncached / 2), new PrefixBlock(2, uncached / 2)));
        for (int index = 0; index < 6; index++) {
            learner.engine(index).requestStarted(0, index % 2 == 0 ? 0 : queuedOnSlow);
            learner.engine(index).cache().sent(generation.parts().subList(0, cachedOnFast && index % 2 == 0 ? 1 : 0));
        }
        // The decode engine is too busy to prefill by itself.
        engines.get(6).requestStarted(0, 20_000);
        EngineState chosen = new EngineChooser(DOMAIN)
                .choose(generation, engines, 500)
                .orElseThrow()
                .prefillEngine()
                .orElseThrow();
        assertEquals(expected, learner.engines.indexOf(chosen) % 2 == 0 ? "fast" : "slow");
    }

    /** Guards against other placements in deployments whose engines match the nominal figures. */
    @Test
    void testEnginesOfNominalSpeedArePlacedAsBefore() {
        Learner learner = new Learner(6, 11);
        for (int sample = 0; sample < 120; sample++) {
            learner.prefill(sample % 6, EngineSpeed.NOMINAL, 0, sample * SECOND / 2);
        }
        List<EngineState> measured = new ArrayList<>(learner.engines);
        List<EngineState> fresh = new ArrayList<>(new Learner(6, 0).engines);
        EngineState decoder = EngineChooserTest.engine("d", EndpointRole.DECODE, DOMAIN);
        measured.add(decoder);
        fresh.add(decoder);
        EngineChooser chooser = new EngineChooser(DOMAIN);
        Random random = new Random(12);
        for (int index = 0; index < 500; index++) {
            Generation generation = new Generation(
                    500 + random.nextInt(30_000),
                    100,
                    List.of(new PrefixBlock(random.nextInt(40), 400), new PrefixBlock(index, 100)));
            int queued = index % 3 * 500;
            Placement now = chooser.choose(generation, measured, 400).orElseThrow();
            Placement before = chooser.choose(generation, fresh).orElseThrow();
            assertEquals(
                    before.prefillEngine().map(engine -> engine.endpoint().id()),
                    now.prefillEngine().map(engine -> engine.endpoint().id()));
            assertEquals(before.firstEventMillis(), now.firstEventMillis(), 1e-6);
            now.prefillEngine().ifPresent(engine -> engine.requestStarted(100, queued));
            before.prefillEngine().ifPresent(engine -> engine.requestStarted(100, queued));
        }
    }

    /** Guards against estimates for unmeasured engines that differ from the fixed figures used before. */
    @ParameterizedTest
    @CsvSource({
        "3000, 12000, 0, 141.2556, 267.3490",
        "3000, 12000, 1500, 181.7961, 367.3490",
        "8000, 8000, 0, 276.5522, 601.0053"
    })
    void testEstimatesOfUnmeasuredEngines(
            int uncached, int promptTokens, long queued, double prefillMillis, double localMillis) {
        EngineState engine = EngineChooserTest.engine("e", EndpointRole.DECODE, DOMAIN);
        Generation generation = prompt(uncached, promptTokens);
        engine.cache().sent(generation.parts().subList(0, 1));
        engine.requestStarted(0, queued);
        assertEquals(prefillMillis, EngineEstimate.prefillMillis(engine, generation), 1e-3);
        assertEquals(localMillis, EngineEstimate.localMillis(engine, generation), 1e-3);
    }
}
