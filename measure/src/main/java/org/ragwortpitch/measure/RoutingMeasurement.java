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
import org.ragwortpitch.routing.Demand;
import org.ragwortpitch.routing.EndpointChooser;
import org.ragwortpitch.routing.EndpointState;
import org.ragwortpitch.routing.ForEstimatedFinish;
import org.ragwortpitch.routing.ForLeastRequests;
import org.ragwortpitch.routing.ForRandom;
import org.ragwortpitch.routing.ForRotation;
import org.ragwortpitch.routing.ForTwoChoices;
import org.ragwortpitch.routing.PieceIndex;

/**
 * First tokens and goodput by how endpoints are chosen, over fake engines and a mix that swings from generation to
 * prompts and back. Arguments: seed, seconds, requests a second.
 */
final class RoutingMeasurement implements Measurement {

    /**
     * How many engines there are.
     */
    private static final int ENGINES = 13;

    /**
     * How many long templates prompts begin with.
     */
    private static final int TEMPLATES = 40;

    /**
     * The target for the first token, in milliseconds.
     */
    private static final double FIRST_TOKEN_MILLIS = 1_600;

    /**
     * The target between tokens, in milliseconds.
     */
    private static final double BETWEEN_MILLIS = 68;

    /**
     * How old load reports are, in milliseconds.
     */
    private static final long REPORT_MILLIS = 1_000;

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
        choosers.put("random", new ForRandom(random));
        choosers.put("rotation", new ForRotation());
        choosers.put("least requests", ForLeastRequests.INSTANCE);
        choosers.put("two choices", new ForTwoChoices(random));
        choosers.put("estimated finish", new ForEstimatedFinish(here, 1_500, REPORT_MILLIS));
        choosers.forEach((name, chooser) ->
                table.printf("%d,%.0f,%s,%s%n", seed, rate, name, measure(seed, seconds, rate, chooser)));
    }

    /**
     * Measures a chooser.
     *
     * @param seed    the seed
     * @param seconds how long
     * @param rate    the requests a second
     * @param chooser the chooser
     * @return the row without its first columns
     */
    private static String measure(long seed, long seconds, double rate, EndpointChooser chooser) {
        SplittableRandom random = new SplittableRandom(seed);
        PieceIndex index = new PieceIndex(2_000);
        List<FakeEngine> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new FakeEngine(new EndpointId("e" + number), new FailureDomain("f" + number % 3)));
        }
        List<Double> firsts = new ArrayList<>();
        long good = 0;
        long cached = 0;
        long prompted = 0;
        double nowMillis = 0;
        while (nowMillis < seconds * 1_000) {
            nowMillis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
            Demand demand = demand(random, nowMillis, seconds * 1_000);
            List<EndpointState> states = new ArrayList<>();
            for (FakeEngine engine : engines) {
                engine.advance(nowMillis);
                states.add(engine.state(index.cachedTokens(engine.id(), demand.pieces()), nowMillis));
            }
            EndpointState chosen = chooser.choose(demand, states).orElseThrow();
            FakeEngine engine = engines.get(states.indexOf(chosen));
            index.sent(engine.id(), demand.pieces());
            Served served = engine.serve(demand, nowMillis);
            firsts.add(served.firstTokenMillis());
            cached += served.cachedTokens();
            prompted += demand.promptTokens();
            boolean met = served.firstTokenMillis() <= FIRST_TOKEN_MILLIS && served.betweenMillis() <= BETWEEN_MILLIS;
            good += met ? 1 : 0;
        }
        firsts.sort(null);
        return String.format(
                "%.0f,%.0f,%.1f,%.1f",
                firsts.get(firsts.size() / 2),
                firsts.get((int) (firsts.size() * 0.95)),
                100.0 * good / firsts.size(),
                100.0 * cached / prompted);
    }

    /**
     * Makes a request: in the middle third of the time, prompts are long and answers short.
     *
     * @param random    the source
     * @param nowMillis the present time
     * @param allMillis the whole time
     * @return the demand
     */
    private static Demand demand(SplittableRandom random, double nowMillis, double allMillis) {
        boolean swing = nowMillis > allMillis / 3 && nowMillis < allMillis * 2 / 3;
        int template = random.nextInt(TEMPLATES);
        int pieces = swing ? 6 + random.nextInt(8) : 1 + random.nextInt(3);
        List<Long> hashes = new ArrayList<>();
        for (int piece = 0; piece < pieces; piece++) {
            hashes.add(template * 1_000L + piece);
        }
        long output = swing ? 30 + random.nextInt(60) : 150 + random.nextInt(200);
        return new Demand(pieces * 1_000L + random.nextInt(800), output, hashes);
    }
}
