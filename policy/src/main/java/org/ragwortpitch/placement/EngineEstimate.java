package org.ragwortpitch.placement;

import org.ragwortpitch.deployment.Generation;

/**
 * Estimates how long an engine takes. The figures are starting values of a large dense model; each engine's measured
 * slowness corrects them.
 */
public final class EngineEstimate {

    /** Tokens that an engine reads in a millisecond when it does nothing else; measured over reads of all lengths. */
    public static final double READ_TOKENS_PER_MILLI = 37;

    /** What a read takes besides its tokens, in milliseconds; measured with prompts that were kept whole. */
    private static final double READ_SETUP_MILLIS = 50;

    /**
     * Tokens that an engine reads in a millisecond beside making tokens: a quarter of a piece of 1,024 at half the
     * speed, then a step of about 5.5 ms for the others.
     */
    private static final double BESIDE_TOKENS_PER_MILLI = 15;

    /** An engine that also makes tokens reads at half the speed; the platform's interface says so. */
    private static final double BESIDE_TOKENS_SHARE = 0.5;

    /** Milliseconds for a million pairs of tokens, the part of reading that grows with the square of the length. */
    private static final double MILLIS_PER_MILLION_PAIRS = 0.323;

    /** From the end of reading to the first event, in milliseconds: seven steps of about 6 ms. */
    private static final double FIRST_EVENT_MILLIS = 47;

    /** Setting up a transfer between engines, in milliseconds; from the operators' sheet. */
    private static final double TRANSFER_SETUP_MILLIS = 6;

    /** From this many streams on, delaying them counts as much as delaying the new one. */
    private static final double DISTURBED_STREAMS = 8;

    private static final double BITS_PER_BYTE = 8;

    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    private static final double PAIRS_PER_MILLION = 1_000_000;

    private EngineEstimate() {}

    /**
     * Estimates how long a prompt engine needs to read a prompt, with what waits there.
     */
    public static double readMillis(Engine engine, Generation generation) {
        int uncached = uncachedTokens(engine, generation);
        double own =
                READ_SETUP_MILLIS + uncached / READ_TOKENS_PER_MILLI + pairsMillis(uncached, generation.promptTokens());
        return engine.slowness() * own + readerWaitMillis(engine);
    }

    /**
     * Estimates how long an engine that makes tokens needs until the first event if it reads the prompt itself.
     */
    public static double localMillis(Engine engine, Generation generation) {
        int uncached = uncachedTokens(engine, generation);
        double own = uncached / BESIDE_TOKENS_PER_MILLI
                + pairsMillis(uncached, generation.promptTokens()) / BESIDE_TOKENS_SHARE;
        return engine.slowness() * (own + FIRST_EVENT_MILLIS) + localWaitMillis(engine);
    }

    /**
     * Estimates how long until the first event once the prompt was read elsewhere.
     */
    public static double handedOverMillis(Engine engine, Generation generation) {
        double bits = (double) generation.promptTokens() * engine.spec().tokenBytes() * BITS_PER_BYTE;
        double transfer = TRANSFER_SETUP_MILLIS + bits / (engine.spec().linkMbps() * BITS_PER_MEGABIT_MILLI);
        return transfer + engine.slowness() * FIRST_EVENT_MILLIS;
    }

    /**
     * Estimates how long until a reader's turn comes to read a further prompt.
     */
    public static double readerWaitMillis(Engine engine) {
        return engine.slowness() * engine.totalReadingTokens() / READ_TOKENS_PER_MILLI;
    }

    /**
     * Estimates how long until an engine's turn comes to read a further prompt beside making tokens.
     */
    public static double localWaitMillis(Engine engine) {
        return engine.slowness() * engine.totalReadingTokens() / BESIDE_TOKENS_PER_MILLI;
    }

    /**
     * Counts the tokens that an engine would have to read.
     */
    public static int uncachedTokens(Engine engine, Generation generation) {
        return Math.max(1, generation.promptTokens() - engine.cache().keptTokens(generation.parts()));
    }

    /**
     * Estimates how much the streams of an engine are delayed, all together, by a prompt that it reads between their
     * tokens.
     */
    public static double disturbedMillis(Engine engine, Generation generation) {
        double reading = uncachedTokens(engine, generation) / (READ_TOKENS_PER_MILLI * BESIDE_TOKENS_SHARE);
        return reading * Math.min(1, engine.totalRunning() / DISTURBED_STREAMS);
    }

    private static double pairsMillis(int uncached, int promptTokens) {
        double pairs = (double) uncached * (promptTokens - uncached / 2.0);
        return MILLIS_PER_MILLION_PAIRS * pairs / PAIRS_PER_MILLION;
    }
}
