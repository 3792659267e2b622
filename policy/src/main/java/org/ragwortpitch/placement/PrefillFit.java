package org.ragwortpitch.placement;

/**
 * Moving weighted least squares of prefill times over their computation at the nominal speed: tells the set-up apart
 * from the time per token. Samples count by their relative error, and old ones lose weight. Confined to one thread.
 */
final class PrefillFit {

    /** Time in which a sample loses half of its weight, in milliseconds; a daemon sees one to three in a second. */
    private static final long HALF_LIFE_MILLIS = 60_000;

    /** Weight of each of the two points that stand for the expected figures, in samples. */
    private static final double PRIOR_SAMPLES = 1;

    /** Computations at the nominal speed at which they lie, in milliseconds: a cached prompt and a long one. */
    private static final double[] PRIOR_COMPUTE_MILLIS = {1, 400};

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;
    private long sampledMillis;

    /**
     * Adds a sample.
     *
     * @param computeMillis the prefill's computation at the nominal speed
     * @param actualMillis  its whole time, as an engine of the pool's speed would have taken it
     */
    void record(double computeMillis, double actualMillis, long nowMillis) {
        double kept = SpeedMean.decay(nowMillis - sampledMillis, HALF_LIFE_MILLIS);
        weight *= kept;
        sumX *= kept;
        sumY *= kept;
        sumXx *= kept;
        sumXy *= kept;
        sampledMillis = Math.max(sampledMillis, nowMillis);
        double sampleWeight = 1 / (actualMillis * actualMillis);
        weight += sampleWeight;
        sumX += sampleWeight * computeMillis;
        sumY += sampleWeight * actualMillis;
        sumXx += sampleWeight * computeMillis * computeMillis;
        sumXy += sampleWeight * computeMillis * actualMillis;
    }

    /**
     * Returns the prefill figures that fit best.
     *
     * @param expected the figures that hold as far as the samples don't say otherwise
     */
    EngineSpeed solve(EngineSpeed expected) {
        double w = weight;
        double x = sumX;
        double y = sumY;
        double xx = sumXx;
        double xy = sumXy;
        for (double compute : PRIOR_COMPUTE_MILLIS) {
            double millis = expected.setupMillis() + expected.relativePrefillTime() * compute;
            double priorWeight = PRIOR_SAMPLES / (millis * millis);
            w += priorWeight;
            x += priorWeight * compute;
            y += priorWeight * millis;
            xx += priorWeight * compute * compute;
            xy += priorWeight * compute * millis;
        }
        double slope = (w * xy - x * y) / (w * xx - x * x);
        double setupMillis = (y - slope * x) / w;
        double rate = slope > 0 ? EngineSpeed.NOMINAL.prefillTokensPerMilli() / slope : Double.POSITIVE_INFINITY;
        return new EngineSpeed(
                SpeedFigure.PREFILL_RATE.bounded(rate),
                SpeedFigure.SETUP.bounded(setupMillis),
                EngineSpeed.UNKNOWN,
                EngineSpeed.UNKNOWN);
    }
}
