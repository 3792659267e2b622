package org.ragwortpitch.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Computes how many engines a demand needs, with hysteresis: the count rises at once but falls only after the need has
 * been lower for a while, since a new engine takes seconds to start and starts with an empty prefix cache. Confined to
 * one thread.
 */
public final class EngineDemandEstimator {

    /** Utilization at which prompts rarely wait, and the load can still be carried after the loss of a domain. */
    private static final double PREFILL_UTILIZATION = 0.4;

    /** Streams that a decode engine serves within the usual pause between events, with headroom for bursts. */
    private static final int STREAMS_PER_DECODE_ENGINE = 24;

    private static final int MIN_PREFILL_ENGINES = 3;

    /** How long a lower need has to last, in milliseconds: a few times the start and warm-up time of an engine. */
    private static final long SCALE_DOWN_DELAY_MILLIS = 9_000;

    private final Deque<Sample> history = new ArrayDeque<>();
    private final EngineCount first;
    private boolean demandSeen;

    /**
     * Creates an estimator without a history.
     *
     * @param first the count to use until the first demand is seen
     */
    public EngineDemandEstimator(EngineCount first) {
        this.first = first;
    }

    /**
     * Returns the engines needed: the highest need within the delay for scaling down.
     *
     * @param domains the number of failure domains, each of which has at least one decode engine
     */
    public EngineCount count(PoolDemand demand, int domains, long nowMillis) {
        int prefillEngines =
                (int) Math.ceil(demand.prefillTokensPerMilli() / (demand.engineTokensPerMilli() * PREFILL_UTILIZATION));
        int decodeEngines = (demand.streams() + STREAMS_PER_DECODE_ENGINE - 1) / STREAMS_PER_DECODE_ENGINE;
        if (!demandSeen) {
            demandSeen = demand.prefillTokensPerMilli() > 0;
            history.clear();
            history.add(new Sample(
                    nowMillis, new EngineCount(first.prefillEngines(), Math.max(domains, first.decodeEngines()))));
        }
        history.add(new Sample(
                nowMillis,
                new EngineCount(Math.max(MIN_PREFILL_ENGINES, prefillEngines), Math.max(domains, decodeEngines))));
        while (history.size() > 1 && nowMillis - history.peek().atMillis() > SCALE_DOWN_DELAY_MILLIS) {
            history.poll();
        }
        return new EngineCount(
                history.stream()
                        .mapToInt(sample -> sample.count().prefillEngines())
                        .max()
                        .orElse(first.prefillEngines()),
                history.stream()
                        .mapToInt(sample -> sample.count().decodeEngines())
                        .max()
                        .orElse(domains));
    }

    /**
     * Returns whether any prefill demand has been seen yet.
     */
    public boolean hasSeenDemand() {
        return demandSeen;
    }

    /**
     * The need at a point in time.
     */
    private record Sample(long atMillis, EngineCount count) {}
}
