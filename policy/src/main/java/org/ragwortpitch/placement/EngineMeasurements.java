package org.ragwortpitch.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortpitch.identity.InstanceId;

/**
 * What this daemon and others have measured of one engine's incarnation. Old samples lose weight, so that the figures
 * return to those of the pool. Confined to one thread.
 */
final class EngineMeasurements {

    /**
     * Time in which a sample loses half of its weight, in milliseconds: an engine that was slow gets a request again
     * after a few of them, which costs one slow request in a while if it still is.
     */
    static final long HALF_LIFE_MILLIS = 15_000;

    /** Weight of the pool's figures, in samples: a single sample of thrice the expected time adds a third. */
    private static final double POOL_SAMPLES = 3;

    /** A report with fewer samples left says nothing that is worth its bytes. */
    private static final double MIN_REPORTED_SAMPLES = 0.5;

    private final SpeedMean own = new SpeedMean();
    private final Map<InstanceId, SpeedReport> others = new HashMap<>();
    private long sampledMillis;

    void record(EngineSpeed sample, long nowMillis) {
        own.scale(SpeedMean.decay(nowMillis - sampledMillis, HALF_LIFE_MILLIS));
        own.add(sample, 1);
        sampledMillis = Math.max(sampledMillis, nowMillis);
    }

    void learn(InstanceId source, SpeedReport report) {
        others.put(source, report);
    }

    /**
     * Returns what this daemon has measured.
     */
    Optional<SpeedReport> ownReport(long nowMillis) {
        return Optional.of(own()).filter(report -> report.weight(nowMillis, HALF_LIFE_MILLIS) >= MIN_REPORTED_SAMPLES);
    }

    /**
     * Returns what this daemon and the selected others have measured.
     */
    Optional<SpeedReport> report(Predicate<InstanceId> selected, long nowMillis) {
        SpeedMean mean = new SpeedMean();
        long atMillis = sampledMillis;
        SpeedReport mine = own();
        mean.add(mine.speed(), mine.weight(nowMillis, HALF_LIFE_MILLIS));
        for (Map.Entry<InstanceId, SpeedReport> other : others.entrySet()) {
            if (selected.test(other.getKey())) {
                SpeedReport report = other.getValue();
                mean.add(report.speed(), report.weight(nowMillis, HALF_LIFE_MILLIS));
                atMillis = Math.max(atMillis, report.atMillis());
            }
        }
        // The reader lets the count decay by the age, so it is stated as of the latest sample.
        double samples = mean.weight() / SpeedMean.decay(nowMillis - atMillis, HALF_LIFE_MILLIS);
        return mean.weight() < MIN_REPORTED_SAMPLES
                ? Optional.empty()
                : Optional.of(new SpeedReport(mean.mean(), samples, atMillis));
    }

    /**
     * Returns the engine's figures.
     *
     * @param pool those of its pool, which stand in for samples
     */
    EngineSpeed speed(EngineSpeed pool, long nowMillis) {
        others.values().removeIf(report -> !report.isUsable(nowMillis));
        SpeedReport mine = own();
        if (others.isEmpty() && mine.samples() == 0) {
            return pool;
        }
        SpeedMean mean = new SpeedMean().add(pool, POOL_SAMPLES);
        mean.add(mine.speed(), mine.weight(nowMillis, HALF_LIFE_MILLIS));
        others.values().forEach(report -> mean.add(report.speed(), report.weight(nowMillis, HALF_LIFE_MILLIS)));
        return mean.mean();
    }

    /**
     * Adds what other daemons have measured to a mean.
     *
     * @param maxSamples most samples that the engine counts for, so that a busy engine doesn't stand for the pool
     */
    void addOthers(SpeedMean pool, double maxSamples, long halfLifeMillis, long nowMillis) {
        if (others.isEmpty()) {
            return;
        }
        SpeedMean mean = new SpeedMean();
        others.values().forEach(report -> mean.add(report.speed(), report.weight(nowMillis, halfLifeMillis)));
        pool.add(mean.mean(), Math.min(maxSamples, mean.weight()));
    }

    private SpeedReport own() {
        return new SpeedReport(own.mean(), own.weight(), sampledMillis);
    }
}
