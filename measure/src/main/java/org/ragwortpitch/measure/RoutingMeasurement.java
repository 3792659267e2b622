package org.ragwortpitch.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.routing.EndpointCandidate;
import org.ragwortpitch.routing.EndpointChooser;
import org.ragwortpitch.routing.EstimatedFinishChooser;
import org.ragwortpitch.routing.LeastRequestsChooser;
import org.ragwortpitch.routing.PrefixBlockIndex;
import org.ragwortpitch.routing.RandomChooser;
import org.ragwortpitch.routing.RequestCost;
import org.ragwortpitch.routing.RoundRobinChooser;
import org.ragwortpitch.routing.TwoChoicesChooser;

/**
 * Simulates the time to first token and the goodput of each endpoint chooser over fake engines. The load shifts from
 * decode-heavy to prefill-heavy and back. Arguments: seed, seconds, requests a second.
 */
final class RoutingMeasurement implements Measurement {

    /**
     * Number of engines.
     */
    private static final int ENGINES = 13;

    /**
     * Number of templates, one of which each prompt starts with.
     */
    private static final int TEMPLATES = 40;

    /**
     * Target for the time to first token, in milliseconds.
     */
    private static final double FIRST_TOKEN_TARGET_MILLIS = 1_600;

    /**
     * Target for the time between tokens, in milliseconds.
     */
    private static final double TOKEN_GAP_TARGET_MILLIS = 68;

    /**
     * Age of load reports, in milliseconds.
     */
    private static final long REPORT_AGE_MILLIS = 1_000;

    @Override
    public void run(Arguments arguments, PrintStream table) {
        long seed = arguments.number(0, 1);
        long seconds = arguments.number(1, 300);
        double rate = arguments.number(2, 16);
        FailureDomain here = new FailureDomain("f0");
        table.println("seed,requests_per_second,chooser,first_token_p50_ms,first_token_p95_ms,goodput_percent,"
                + "cached_percent");
        Map<String, EndpointChooser> choosers = new LinkedHashMap<>();
        RandomGenerator random = new SplittableRandom(seed + 1);
        choosers.put("random", new RandomChooser(random));
        choosers.put("rotation", new RoundRobinChooser());
        choosers.put("least requests", LeastRequestsChooser.INSTANCE);
        choosers.put("two choices", new TwoChoicesChooser(random));
        choosers.put("estimated finish", new EstimatedFinishChooser(here, 1_500, REPORT_AGE_MILLIS));
        choosers.forEach((name, chooser) ->
                table.printf("%d,%.0f,%s,%s%n", seed, rate, name, measure(seed, seconds, rate, chooser)));
    }

    /**
     * Simulates one chooser.
     *
     * @param seconds the simulated time, in seconds
     * @param rate    requests a second
     * @return the table row without its first three columns
     */
    private static String measure(long seed, long seconds, double rate, EndpointChooser chooser) {
        SplittableRandom random = new SplittableRandom(seed);
        PrefixBlockIndex index = new PrefixBlockIndex(2_000);
        List<FakeEngine> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new FakeEngine(new EndpointId("e" + number), new FailureDomain("f" + number % 3)));
        }
        List<Double> firstTokenMillis = new ArrayList<>();
        long onTarget = 0;
        long cachedTokens = 0;
        long promptTokens = 0;
        double nowMillis = 0;
        while (nowMillis < seconds * 1_000) {
            nowMillis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
            RequestCost demand = demand(random, nowMillis, seconds * 1_000);
            List<EndpointCandidate> states = new ArrayList<>();
            for (FakeEngine engine : engines) {
                engine.advance(nowMillis);
                states.add(engine.state(index.cachedTokens(engine.id(), demand.prefixBlocks()), nowMillis));
            }
            EndpointCandidate chosen = chooser.choose(demand, states).orElseThrow();
            FakeEngine engine = engines.get(states.indexOf(chosen));
            index.sent(engine.id(), demand.prefixBlocks());
            Served served = engine.serve(demand, nowMillis);
            firstTokenMillis.add(served.firstTokenMillis());
            cachedTokens += served.cachedTokens();
            promptTokens += demand.promptTokens();
            boolean targetsMet = served.firstTokenMillis() <= FIRST_TOKEN_TARGET_MILLIS
                    && served.tokenGapMillis() <= TOKEN_GAP_TARGET_MILLIS;
            onTarget += targetsMet ? 1 : 0;
        }
        firstTokenMillis.sort(null);
        return String.format(
                "%.0f,%.0f,%.1f,%.1f",
                firstTokenMillis.get(firstTokenMillis.size() / 2),
                firstTokenMillis.get((int) (firstTokenMillis.size() * 0.95)),
                100.0 * onTarget / firstTokenMillis.size(),
                100.0 * cachedTokens / promptTokens);
    }

    /**
     * Draws a request. In the middle third of the time, prompts are long and answers short.
     *
     * @param allMillis total simulated time, in milliseconds
     */
    private static RequestCost demand(SplittableRandom random, double nowMillis, double allMillis) {
        boolean prefillHeavy = nowMillis > allMillis / 3 && nowMillis < allMillis * 2 / 3;
        int template = random.nextInt(TEMPLATES);
        int blocks = prefillHeavy ? 6 + random.nextInt(8) : 1 + random.nextInt(3);
        List<Long> hashes = new ArrayList<>();
        for (int block = 0; block < blocks; block++) {
            hashes.add(template * 1_000L + block);
        }
        long output = prefillHeavy ? 30 + random.nextInt(60) : 150 + random.nextInt(200);
        return new RequestCost(blocks * 1_000L + random.nextInt(800), output, hashes);
    }
}
