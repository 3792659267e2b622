package org.ragwortpitch.placement;

import java.util.function.ToDoubleFunction;

/**
 * A figure of an {@link EngineSpeed}, with the range outside which a value is a fault rather than a speed.
 */
enum SpeedFigure {
    PREFILL_RATE(EngineSpeed::prefillTokensPerMilli, 1, 5_000),
    SETUP(EngineSpeed::setupMillis, 0.5, 5_000),
    FIRST_EVENT(EngineSpeed::firstEventMillis, 1, 5_000),
    STEP(EngineSpeed::stepMillis, 0.1, 1_000);

    private final ToDoubleFunction<EngineSpeed> reader;
    private final double min;
    private final double max;

    SpeedFigure(ToDoubleFunction<EngineSpeed> reader, double min, double max) {
        this.reader = reader;
        this.min = min;
        this.max = max;
    }

    double of(EngineSpeed speed) {
        return reader.applyAsDouble(speed);
    }

    /**
     * Returns the value if it is in the range, else {@link EngineSpeed#UNKNOWN}; NaN is in no range.
     */
    double plausible(double value) {
        return value >= min && value <= max ? value : EngineSpeed.UNKNOWN;
    }

    /**
     * Returns the value, or the nearest end of the range.
     */
    double bounded(double value) {
        return Math.max(min, Math.min(max, value));
    }
}
