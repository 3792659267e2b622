package org.ragwortpitch.placement;

/**
 * Weighted geometric mean of engine speeds, by figure. Confined to one thread.
 */
final class SpeedMean {

    private static final SpeedFigure[] FIGURES = SpeedFigure.values();

    /** Means are rounded to a thousandth, so that equal samples give equal means whatever their order and weight. */
    private static final double ROUNDING = 1_000;

    private final double[] logs = new double[FIGURES.length];
    private final double[] weights = new double[FIGURES.length];

    /**
     * Returns what is left of a weight after some time; the time before a sample counts as none.
     */
    static double decay(long elapsedMillis, long halfLifeMillis) {
        return Math.pow(0.5, Math.max(0, elapsedMillis) / (double) halfLifeMillis);
    }

    /**
     * Adds the known figures of a speed.
     */
    SpeedMean add(EngineSpeed speed, double weight) {
        for (int index = 0; index < FIGURES.length; index++) {
            double value = FIGURES[index].of(speed);
            if (value != EngineSpeed.UNKNOWN && weight > 0) {
                logs[index] += weight * Math.log(value);
                weights[index] += weight;
            }
        }
        return this;
    }

    /**
     * Multiplies the weight of all that was added.
     */
    void scale(double factor) {
        for (int index = 0; index < FIGURES.length; index++) {
            logs[index] *= factor;
            weights[index] *= factor;
        }
    }

    /**
     * Returns the mean; figures without a weight are unknown.
     */
    EngineSpeed mean() {
        return new EngineSpeed(
                mean(SpeedFigure.PREFILL_RATE),
                mean(SpeedFigure.SETUP),
                mean(SpeedFigure.FIRST_EVENT),
                mean(SpeedFigure.STEP));
    }

    private double mean(SpeedFigure figure) {
        double weight = weights[figure.ordinal()];
        return weight > 0
                ? Math.rint(Math.exp(logs[figure.ordinal()] / weight) * ROUNDING) / ROUNDING
                : EngineSpeed.UNKNOWN;
    }

    /**
     * Returns the weight of the figure that has most of it.
     */
    double weight() {
        double most = 0;
        for (double weight : weights) {
            most = Math.max(most, weight);
        }
        return most;
    }
}
