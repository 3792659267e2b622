package org.ragwortpitch.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.routing.EndpointCandidate;
import org.ragwortpitch.routing.EndpointSpeed;
import org.ragwortpitch.routing.RequestCost;

/**
 * A simulated engine. It prefills one prompt at a time, decodes all running requests as one batch, and its decode steps
 * get slower with each further request.
 */
final class FakeEngine {

    /**
     * Prefill time of a prompt token, in milliseconds.
     */
    private static final double PREFILL_MILLIS = 0.05;

    /**
     * Base time of a decode step, in milliseconds.
     */
    private static final double STEP_MILLIS = 10;

    /**
     * Time that each request in the batch adds to a decode step, in milliseconds.
     */
    private static final double STEP_MILLIS_PER_REQUEST = 0.6;

    /**
     * Capacity of the prefix cache, in prefix blocks.
     */
    private static final int CACHE_BLOCKS = 80;

    private final EndpointId id;

    private final FailureDomain failureDomain;

    /**
     * Hashes of the cached prefix blocks, least recently used first.
     */
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * End times of the running requests, in milliseconds.
     */
    private final PriorityQueue<Double> ends = new PriorityQueue<>();

    /**
     * Time at which the prefill queue is empty, in milliseconds.
     */
    private double prefillFreeMillis;

    FakeEngine(EndpointId id, FailureDomain failureDomain) {
        this.id = id;
        this.failureDomain = failureDomain;
    }

    EndpointId id() {
        return id;
    }

    /**
     * Removes the requests that have ended by a time.
     */
    void advance(double nowMillis) {
        while (!ends.isEmpty() && ends.peek() <= nowMillis) {
            ends.remove();
        }
    }

    /**
     * Returns the engine's state as estimated by a daemon that sends all of its traffic.
     *
     * @param cachedTokens prompt tokens that the daemon estimates to be cached
     */
    EndpointCandidate state(long cachedTokens, double nowMillis) {
        long waiting = (long) (Math.max(0, prefillFreeMillis - nowMillis) / PREFILL_MILLIS);
        EndpointSpeed speed = new EndpointSpeed(
                (long) (PREFILL_MILLIS * 1000), (long) (STEP_MILLIS * 1000), (long) (STEP_MILLIS_PER_REQUEST * 1000));
        return new EndpointCandidate(
                id, failureDomain, EndpointRole.MIXED, ends.size(), waiting, 0, 0, 0, cachedTokens, speed);
    }

    /**
     * Simulates a request from its arrival on.
     */
    Served serve(RequestCost demand, double nowMillis) {
        long cached = lookUpAndStore(demand.prefixBlocks());
        double prefillMillis = (demand.promptTokens() - cached) * PREFILL_MILLIS;
        prefillFreeMillis = Math.max(prefillFreeMillis, nowMillis) + prefillMillis;
        double prefillShare = Math.min(0.9, Math.max(0, prefillFreeMillis - nowMillis) / 4_000);
        double stepMillis = (STEP_MILLIS + STEP_MILLIS_PER_REQUEST * (ends.size() + 1)) / (1 - prefillShare);
        double firstTokenMillis = prefillFreeMillis - nowMillis + stepMillis;
        ends.add(nowMillis + firstTokenMillis + stepMillis * demand.outputTokens());
        return new Served(firstTokenMillis, stepMillis, cached);
    }

    /**
     * Looks up a prompt in the prefix cache, then stores all of its blocks.
     *
     * @param blocks hashes of the prompt's prefix blocks
     * @return the length of the longest cached prefix, in tokens
     */
    private long lookUpAndStore(List<Long> blocks) {
        int hits = 0;
        while (hits < blocks.size() && cache.get(blocks.get(hits)) != null) {
            hits++;
        }
        blocks.forEach(block -> cache.put(block, true));
        while (cache.size() > CACHE_BLOCKS) {
            cache.remove(cache.keySet().iterator().next());
        }
        return (long) hits * RequestCost.TOKENS_PER_BLOCK;
    }
}
