package org.ragwortpitch.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.routing.Demand;
import org.ragwortpitch.routing.EndpointState;
import org.ragwortpitch.routing.Speed;

/**
 * A fake engine: it reads one prompt after the other, generates for all requests at once, and slows down with each.
 */
final class FakeEngine {

    /**
     * What reading a prompt token takes, in milliseconds.
     */
    private static final double PREFILL_MILLIS = 0.05;

    /**
     * What a step takes, in milliseconds.
     */
    private static final double STEP_MILLIS = 10;

    /**
     * What each further request adds to a step, in milliseconds.
     */
    private static final double STEP_MILLIS_PER_REQUEST = 0.6;

    /**
     * The most pieces in the prefix cache.
     */
    private static final int CACHE_PIECES = 80;

    /**
     * The engine's name.
     */
    private final EndpointId id;

    /**
     * Where it runs.
     */
    private final FailureDomain failureDomain;

    /**
     * The prefix cache, least recently used first.
     */
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * When each request under way ends.
     */
    private final PriorityQueue<Double> ends = new PriorityQueue<>();

    /**
     * When the prompts that wait are read.
     */
    private double prefillFreeMillis;

    /**
     * Makes an idle engine.
     *
     * @param id            its name
     * @param failureDomain where it runs
     */
    FakeEngine(EndpointId id, FailureDomain failureDomain) {
        this.id = id;
        this.failureDomain = failureDomain;
    }

    /**
     * Tells the engine's name.
     *
     * @return the name
     */
    EndpointId id() {
        return id;
    }

    /**
     * Ends what has ended.
     *
     * @param nowMillis the present time
     */
    void advance(double nowMillis) {
        while (!ends.isEmpty() && ends.peek() <= nowMillis) {
            ends.remove();
        }
    }

    /**
     * Tells the engine's state as the only daemon before it knows it.
     *
     * @param cachedTokens the prompt tokens believed to be cached
     * @param nowMillis    the present time
     * @return the state
     */
    EndpointState state(long cachedTokens, double nowMillis) {
        long waiting = (long) (Math.max(0, prefillFreeMillis - nowMillis) / PREFILL_MILLIS);
        Speed speed = new Speed(
                (long) (PREFILL_MILLIS * 1000), (long) (STEP_MILLIS * 1000), (long) (STEP_MILLIS_PER_REQUEST * 1000));
        return new EndpointState(
                id, failureDomain, EndpointRole.MIXED, ends.size(), waiting, 0, 0, 0, cachedTokens, speed);
    }

    /**
     * Serves a request.
     *
     * @param demand    what it asks
     * @param nowMillis the present time
     * @return how it was served
     */
    Served serve(Demand demand, double nowMillis) {
        long cached = use(demand.pieces());
        double readMillis = (demand.promptTokens() - cached) * PREFILL_MILLIS;
        prefillFreeMillis = Math.max(prefillFreeMillis, nowMillis) + readMillis;
        double busy = Math.min(0.9, Math.max(0, prefillFreeMillis - nowMillis) / 4_000);
        double step = (STEP_MILLIS + STEP_MILLIS_PER_REQUEST * (ends.size() + 1)) / (1 - busy);
        double first = prefillFreeMillis - nowMillis + step;
        ends.add(nowMillis + first + step * demand.outputTokens());
        return new Served(first, step, cached);
    }

    /**
     * Looks a prompt up in the prefix cache and stores it.
     *
     * @param pieces the prompt's pieces
     * @return the tokens found
     */
    private long use(List<Long> pieces) {
        int hits = 0;
        while (hits < pieces.size() && cache.get(pieces.get(hits)) != null) {
            hits++;
        }
        pieces.forEach(piece -> cache.put(piece, true));
        while (cache.size() > CACHE_PIECES) {
            cache.remove(cache.keySet().iterator().next());
        }
        return (long) hits * Demand.TOKENS_PER_PIECE;
    }
}
