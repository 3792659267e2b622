package org.ragwortpitch.scaling;

import org.ragwortpitch.placement.EngineEstimate;

/**
 * Demand on a pool of engines, summed over all daemons.
 *
 * @param prefillTokensPerMilli the prompt tokens to prefill per millisecond, without cached ones
 * @param streams               the streams in flight
 * @param engineTokensPerMilli  the prefill throughput of one engine of the pool, in tokens per millisecond over prompts
 *                              of all lengths
 */
public record PoolDemand(double prefillTokensPerMilli, int streams, double engineTokensPerMilli) {

    /**
     * Creates the demand on a pool whose engines have the nominal speed.
     */
    public PoolDemand(double prefillTokensPerMilli, int streams) {
        this(prefillTokensPerMilli, streams, EngineEstimate.PREFILL_TOKENS_PER_MILLI);
    }
}
