package org.ragwortpitch.placement;

/**
 * What one source, a daemon or a failure domain, has measured of an engine.
 *
 * @param speed    the averages; figures that the source has not measured are unknown
 * @param samples  the number of samples behind them, with less weight for older ones
 * @param atMillis when the latest sample was taken, in milliseconds of the monotonic clock
 */
public record SpeedReport(EngineSpeed speed, double samples, long atMillis) {

    /** Most samples that a report counts for, so that a wrong count can't outweigh all other sources. */
    private static final double MAX_SAMPLES = 50;

    /** The highest age of a report, in milliseconds: its samples then weigh nothing in an engine's figures. */
    public static final long MAX_AGE_MILLIS = 600_000;

    /**
     * Returns whether the report says anything at a time.
     */
    public boolean isUsable(long nowMillis) {
        return !speed.isUnknown() && samples > 0 && nowMillis - atMillis <= MAX_AGE_MILLIS;
    }

    /**
     * Returns the weight of the report in an average, in samples.
     */
    double weight(long nowMillis, long halfLifeMillis) {
        return isUsable(nowMillis)
                ? Math.min(MAX_SAMPLES, samples) * SpeedMean.decay(nowMillis - atMillis, halfLifeMillis)
                : 0;
    }
}
