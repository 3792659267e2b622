package org.ragwortpitch.placement;

import java.util.Arrays;

/**
 * What an engine takes for a request, without the wait in its queue. A figure that was not measured is
 * {@link #UNKNOWN}.
 *
 * @param prefillTokensPerMilli the prefill throughput without set-up and attention cost, in tokens per millisecond
 * @param setupMillis           the fixed cost of a prefill, in milliseconds
 * @param firstEventMillis      the time from the KV cache's arrival to the first event, in milliseconds
 * @param stepMillis            the time of a decode step, in milliseconds
 */
public record EngineSpeed(
        double prefillTokensPerMilli, double setupMillis, double firstEventMillis, double stepMillis) {

    /** Stands for a figure that is not known. */
    public static final double UNKNOWN = 0;

    /** The figures used until engines are measured: those of a large dense model. */
    public static final EngineSpeed NOMINAL = new EngineSpeed(37, 50, 47, 5.5);

    /** Milliseconds per million token pairs at the nominal speed; attention grows with the square of the length. */
    private static final double ATTENTION_MILLIS_PER_MILLION_PAIRS = 0.323;

    private static final double PAIRS_PER_MILLION = 1_000_000;

    /** Prompt by which engines are compared: the typical length, of which a quarter is not cached. */
    private static final int TYPICAL_PROMPT_TOKENS = 12_000;

    private static final int TYPICAL_UNCACHED_TOKENS = 3_000;

    /**
     * Returns this speed without the figures that are zero, negative, not finite or far from any engine's.
     */
    public EngineSpeed plausible() {
        return new EngineSpeed(
                SpeedFigure.PREFILL_RATE.plausible(prefillTokensPerMilli),
                SpeedFigure.SETUP.plausible(setupMillis),
                SpeedFigure.FIRST_EVENT.plausible(firstEventMillis),
                SpeedFigure.STEP.plausible(stepMillis));
    }

    /**
     * Returns whether a figure was stated that can't be one: negative, not finite or far from any engine's. Zero only
     * says that it was not measured.
     */
    public boolean hasFault() {
        EngineSpeed plausible = plausible();
        return Arrays.stream(SpeedFigure.values())
                .anyMatch(figure -> figure.of(this) != UNKNOWN && figure.of(plausible) == UNKNOWN);
    }

    /**
     * Returns whether a figure is above another speed's by more than a ratio, or below it.
     */
    public boolean differsFrom(EngineSpeed other, double ratio) {
        return Arrays.stream(SpeedFigure.values())
                .anyMatch(figure ->
                        figure.of(this) > ratio * figure.of(other) || figure.of(other) > ratio * figure.of(this));
    }

    /**
     * Returns whether no figure is known.
     */
    public boolean isUnknown() {
        return prefillTokensPerMilli == UNKNOWN
                && setupMillis == UNKNOWN
                && firstEventMillis == UNKNOWN
                && stepMillis == UNKNOWN;
    }

    /**
     * Returns the time of a prefill on an idle engine, in milliseconds. All figures of a prefill have to be known.
     */
    public double prefillMillis(long uncachedTokens, long promptTokens) {
        return setupMillis + relativePrefillTime() * nominalComputeMillis(uncachedTokens, promptTokens);
    }

    /**
     * Returns the time of the attention between a prompt's uncached tokens and those before them, in milliseconds.
     */
    double attentionMillis(long uncachedTokens, long promptTokens) {
        return relativePrefillTime() * nominalAttentionMillis(uncachedTokens, promptTokens);
    }

    /**
     * Returns the time that a prefill takes beyond its set-up at the nominal speed, in milliseconds.
     */
    static double nominalComputeMillis(long uncachedTokens, long promptTokens) {
        return uncachedTokens / NOMINAL.prefillTokensPerMilli + nominalAttentionMillis(uncachedTokens, promptTokens);
    }

    private static double nominalAttentionMillis(long uncachedTokens, long promptTokens) {
        double pairs = (double) uncachedTokens * (promptTokens - uncachedTokens / 2.0);
        return ATTENTION_MILLIS_PER_MILLION_PAIRS * pairs / PAIRS_PER_MILLION;
    }

    /**
     * Returns the time per token over the nominal one; attention takes the same share at any speed.
     */
    double relativePrefillTime() {
        return NOMINAL.prefillTokensPerMilli / prefillTokensPerMilli;
    }

    /**
     * Returns the time of a typical prefill over that of another speed; below 1 if this one is faster.
     */
    public double prefillTimeRelativeTo(EngineSpeed other) {
        return prefillMillis(TYPICAL_UNCACHED_TOKENS, TYPICAL_PROMPT_TOKENS)
                / other.prefillMillis(TYPICAL_UNCACHED_TOKENS, TYPICAL_PROMPT_TOKENS);
    }

    /**
     * Returns this speed's prefill figures, with all times multiplied by a ratio.
     */
    EngineSpeed prefillScaled(double ratio) {
        return new EngineSpeed(
                SpeedFigure.PREFILL_RATE.bounded(prefillTokensPerMilli / ratio),
                SpeedFigure.SETUP.bounded(setupMillis * ratio),
                UNKNOWN,
                UNKNOWN);
    }

    /**
     * Returns a speed of which only the time to the first event is known.
     */
    static EngineSpeed ofFirstEvent(double millis) {
        return new EngineSpeed(UNKNOWN, UNKNOWN, SpeedFigure.FIRST_EVENT.bounded(millis), UNKNOWN);
    }

    /**
     * Returns a speed of which only the time of a decode step is known.
     */
    static EngineSpeed ofStep(double millis) {
        return new EngineSpeed(UNKNOWN, UNKNOWN, UNKNOWN, SpeedFigure.STEP.bounded(millis));
    }
}
