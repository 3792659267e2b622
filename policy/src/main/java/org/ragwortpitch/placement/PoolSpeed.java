package org.ragwortpitch.placement;

import java.util.Collection;

/**
 * The learned speed of the engines of one pool, with which engines start that were not measured. Confined to one
 * thread.
 */
final class PoolSpeed {

    /** Time in which a sample loses half of its weight, in milliseconds: a pool's kind of engine rarely changes. */
    private static final long HALF_LIFE_MILLIS = 600_000;

    /** Weight of the nominal figures, in samples. */
    private static final double NOMINAL_SAMPLES = 3;

    /** Most samples that one engine, or this daemon's own ones, count for. */
    private static final double MAX_SAMPLES = 20;

    private final PrefillFit fit = new PrefillFit();
    private final SpeedMean own = new SpeedMean();
    private long sampledMillis;
    private EngineSpeed speed = EngineSpeed.NOMINAL;

    EngineSpeed speed() {
        return speed;
    }

    /**
     * Returns the prefill figures that the samples of this daemon fit best.
     */
    EngineSpeed prefillShape() {
        return fit.solve(speed);
    }

    void recordPrefill(double computeMillis, double actualMillis, long nowMillis) {
        fit.record(computeMillis, actualMillis, nowMillis);
    }

    void record(EngineSpeed sample, long nowMillis) {
        own.scale(SpeedMean.decay(nowMillis - sampledMillis, HALF_LIFE_MILLIS));
        own.add(sample, 1);
        sampledMillis = Math.max(sampledMillis, nowMillis);
    }

    /**
     * Computes the speed from this daemon's samples and what others report of the pool's engines.
     */
    EngineSpeed refresh(Collection<EngineState> engines, long nowMillis) {
        SpeedMean mean = new SpeedMean();
        double kept = SpeedMean.decay(nowMillis - sampledMillis, HALF_LIFE_MILLIS);
        mean.add(own.mean(), Math.min(MAX_SAMPLES, own.weight() * kept));
        engines.forEach(engine -> engine.measurements().addOthers(mean, MAX_SAMPLES, HALF_LIFE_MILLIS, nowMillis));
        speed = mean.weight() == 0
                ? EngineSpeed.NOMINAL
                : mean.add(EngineSpeed.NOMINAL, NOMINAL_SAMPLES).mean();
        return speed;
    }
}
