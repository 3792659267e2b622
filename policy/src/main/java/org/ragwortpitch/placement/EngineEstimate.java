package org.ragwortpitch.placement;

import org.ragwortpitch.deployment.Generation;

/**
 * Estimates prefill times and times to the first event from each engine's {@link EngineSpeed}.
 */
public final class EngineEstimate {

    /** Prefill throughput of an engine of the nominal speed, in tokens per millisecond, over all prompt lengths. */
    public static final double PREFILL_TOKENS_PER_MILLI = EngineSpeed.NOMINAL.prefillTokensPerMilli();

    /**
     * Prefill throughput of an engine of the nominal speed that also decodes, in tokens per millisecond: a quarter of a
     * chunk of 1,024 tokens at about half the speed, then a decode step for the other requests.
     */
    private static final double INTERLEAVED_TOKENS_PER_MILLI = 15;

    private static final double INTERLEAVED_CHUNK_TOKENS = 256;

    /** Prefill of such a chunk, in milliseconds at the nominal speed; the rest of its time is the decode step. */
    private static final double INTERLEAVED_CHUNK_MILLIS =
            INTERLEAVED_CHUNK_TOKENS / INTERLEAVED_TOKENS_PER_MILLI - EngineSpeed.NOMINAL.stepMillis();

    /** Speed of a prefill interleaved with decoding, relative to a prefill alone; specified by the platform. */
    private static final double INTERLEAVED_SPEED_SHARE = 0.5;

    /** Setup time of a KV cache transfer between engines, in milliseconds, as the operators' data sheet gives it. */
    private static final double TRANSFER_SETUP_MILLIS = 6;

    /** From this many streams on, delaying them weighs as much as delaying the new request. */
    private static final double FULL_WEIGHT_STREAMS = 8;

    private static final double BITS_PER_BYTE = 8;

    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    private EngineEstimate() {}

    /**
     * Estimates how long a prefill engine takes to prefill a prompt, in milliseconds, including the wait in its queue.
     */
    public static double prefillMillis(EngineState engine, Generation generation) {
        int uncached = uncachedTokens(engine, generation);
        return engine.speed().prefillMillis(uncached, generation.promptTokens()) + prefillWaitMillis(engine);
    }

    /**
     * Estimates the time to the first event if a decode engine prefills the prompt itself, in milliseconds, including
     * the wait in its queue.
     */
    public static double localMillis(EngineState engine, Generation generation) {
        return localPrefillMillis(engine, uncachedTokens(engine, generation), generation.promptTokens())
                + engine.speed().firstEventMillis()
                + localWaitMillis(engine);
    }

    /**
     * Estimates how long a decode engine prefills a prompt itself, in milliseconds, without the wait in its queue.
     */
    static double localPrefillMillis(EngineState engine, long uncachedTokens, long promptTokens) {
        return uncachedTokens / interleavedTokensPerMilli(engine)
                + engine.speed().attentionMillis(uncachedTokens, promptTokens) / INTERLEAVED_SPEED_SHARE;
    }

    /**
     * Estimates the time from the end of a prefill on another engine to the first event, in milliseconds, including
     * the KV cache transfer.
     */
    public static double firstEventAfterTransferMillis(EngineState engine, Generation generation) {
        return transferMillis(engine, generation) + engine.speed().firstEventMillis();
    }

    /**
     * Estimates how long the transfer of a prompt's KV cache to an engine takes, in milliseconds.
     */
    static double transferMillis(EngineState engine, Generation generation) {
        double bits = (double) generation.promptTokens() * engine.spec().kvBytesPerToken() * BITS_PER_BYTE;
        return TRANSFER_SETUP_MILLIS + bits / (engine.spec().linkMbps() * BITS_PER_MEGABIT_MILLI);
    }

    /**
     * Estimates the queueing delay of a further prompt on a prefill engine, in milliseconds.
     */
    public static double prefillWaitMillis(EngineState engine) {
        return engine.totalPrefillTokens() / engine.speed().prefillTokensPerMilli();
    }

    /**
     * Estimates the queueing delay of a further prompt on a decode engine, in milliseconds.
     */
    public static double localWaitMillis(EngineState engine) {
        return localWaitMillis(engine, engine.totalPrefillTokens());
    }

    /**
     * Estimates how long a decode engine takes to prefill the tokens in its queue, in milliseconds.
     */
    static double localWaitMillis(EngineState engine, long queuedTokens) {
        return queuedTokens / interleavedTokensPerMilli(engine);
    }

    /**
     * Estimates the prefill throughput of an engine over prompts of all lengths, in tokens per millisecond, set-up
     * included. A speed below the nominal one counts as nominal, since waits of which no gossip has told make learned
     * times longer, and engines ordered for a throughput that is too low cost money.
     */
    public static double throughputTokensPerMilli(EngineSpeed speed) {
        double throughput = PREFILL_TOKENS_PER_MILLI / speed.prefillTimeRelativeTo(EngineSpeed.NOMINAL);
        return Math.max(PREFILL_TOKENS_PER_MILLI, throughput);
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
                uncachedTokens(engine, generation) / (engine.speed().prefillTokensPerMilli() * INTERLEAVED_SPEED_SHARE);
        return prefillMillis * Math.min(1, engine.totalRunning() / FULL_WEIGHT_STREAMS);
    }

    private static double interleavedTokensPerMilli(EngineState engine) {
        return INTERLEAVED_CHUNK_TOKENS
                / (INTERLEAVED_CHUNK_MILLIS * engine.speed().relativePrefillTime()
                        + engine.speed().stepMillis());
    }
}
