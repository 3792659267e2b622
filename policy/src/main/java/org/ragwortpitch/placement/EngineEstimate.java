package org.ragwortpitch.placement;

import org.ragwortpitch.deployment.Generation;

/**
 * Estimates prefill times and times to the first event. The constants describe a large dense model; each engine's
 * measured slowness scales them.
 */
public final class EngineEstimate {

    /** Prefill throughput of an otherwise idle engine, in tokens per millisecond, averaged over all prompt lengths. */
    public static final double PREFILL_TOKENS_PER_MILLI = 37;

    /** Fixed cost of a prefill, in milliseconds; a fully cached prompt takes this long as well. */
    private static final double PREFILL_SETUP_MILLIS = 50;

    /**
     * Prefill throughput of an engine that also decodes, in tokens per millisecond: a quarter of a chunk of 1,024
     * tokens at half the speed, then a decode step of about 5.5 ms for the other requests.
     */
    private static final double INTERLEAVED_TOKENS_PER_MILLI = 15;

    /** Speed of a prefill interleaved with decoding, relative to a prefill alone; specified by the platform. */
    private static final double INTERLEAVED_SPEED_SHARE = 0.5;

    /** Milliseconds per million token pairs: the attention cost, which grows with the square of the prompt length. */
    private static final double ATTENTION_MILLIS_PER_MILLION_PAIRS = 0.323;

    /** Time from the end of the prefill to the first event, in milliseconds: seven decode steps of about 6 ms. */
    private static final double FIRST_EVENT_MILLIS = 47;

    /** Setup time of a KV cache transfer between engines, in milliseconds, as the operators' data sheet gives it. */
    private static final double TRANSFER_SETUP_MILLIS = 6;

    /** From this many streams on, delaying them weighs as much as delaying the new request. */
    private static final double FULL_WEIGHT_STREAMS = 8;

    private static final double BITS_PER_BYTE = 8;

    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    private static final double PAIRS_PER_MILLION = 1_000_000;

    private EngineEstimate() {}

    /**
     * Estimates how long a prefill engine takes to prefill a prompt, in milliseconds, including the wait in its queue.
     */
    public static double prefillMillis(EngineState engine, Generation generation) {
        int uncached = uncachedTokens(engine, generation);
        double own = PREFILL_SETUP_MILLIS
                + uncached / PREFILL_TOKENS_PER_MILLI
                + attentionMillis(uncached, generation.promptTokens());
        return engine.slowness() * own + prefillWaitMillis(engine);
    }

    /**
     * Estimates the time to the first event if a decode engine prefills the prompt itself, in milliseconds, including
     * the wait in its queue.
     */
    public static double localMillis(EngineState engine, Generation generation) {
        int uncached = uncachedTokens(engine, generation);
        double own = uncached / INTERLEAVED_TOKENS_PER_MILLI
                + attentionMillis(uncached, generation.promptTokens()) / INTERLEAVED_SPEED_SHARE;
        return engine.slowness() * (own + FIRST_EVENT_MILLIS) + localWaitMillis(engine);
    }

    /**
     * Estimates the time from the end of a prefill on another engine to the first event, in milliseconds, including
     * the KV cache transfer.
     */
    public static double firstEventAfterTransferMillis(EngineState engine, Generation generation) {
        double bits = (double) generation.promptTokens() * engine.spec().kvBytesPerToken() * BITS_PER_BYTE;
        double transfer = TRANSFER_SETUP_MILLIS + bits / (engine.spec().linkMbps() * BITS_PER_MEGABIT_MILLI);
        return transfer + engine.slowness() * FIRST_EVENT_MILLIS;
    }

    /**
     * Estimates the queueing delay of a further prompt on a prefill engine, in milliseconds.
     */
    public static double prefillWaitMillis(EngineState engine) {
        return engine.slowness() * engine.totalPrefillTokens() / PREFILL_TOKENS_PER_MILLI;
    }

    /**
     * Estimates the queueing delay of a further prompt on a decode engine, in milliseconds.
     */
    public static double localWaitMillis(EngineState engine) {
        return engine.slowness() * engine.totalPrefillTokens() / INTERLEAVED_TOKENS_PER_MILLI;
    }

    /**
     * Returns the prompt tokens that are not in an engine's prefix cache; at least 1.
     */
    public static int uncachedTokens(EngineState engine, Generation generation) {
        return Math.max(1, generation.promptTokens() - engine.cache().cachedTokens(generation.parts()));
    }

    /**
     * Estimates the total delay of an engine's streams, in milliseconds, caused by interleaving the prefill of a prompt
     * with their decode steps.
     */
    public static double streamDelayMillis(EngineState engine, Generation generation) {
        double prefillMillis =
                uncachedTokens(engine, generation) / (PREFILL_TOKENS_PER_MILLI * INTERLEAVED_SPEED_SHARE);
        return prefillMillis * Math.min(1, engine.totalRunning() / FULL_WEIGHT_STREAMS);
    }

    private static double attentionMillis(int uncached, int promptTokens) {
        double pairs = (double) uncached * (promptTokens - uncached / 2.0);
        return ATTENTION_MILLIS_PER_MILLION_PAIRS * pairs / PAIRS_PER_MILLION;
    }
}
