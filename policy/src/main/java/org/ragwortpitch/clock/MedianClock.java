package org.ragwortpitch.clock;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.LongStream;
import org.ragwortpitch.identity.InstanceId;

/**
 * Corrects this instance's wall clock to the median of all daemons' clocks, so that a wrong clock has no effect while
 * most are right. Confined to one thread, except for the correction, which any thread may read.
 */
public final class MedianClock {

    /**
     * The largest step between this instance's wall and monotonic clocks that keeps the readings of other clocks, in
     * milliseconds; above drift.
     */
    private static final long MAX_STEP_MILLIS = 200;

    /**
     * How long a reading of another daemon's clock is used, in milliseconds; several newer readings arrive in that
     * time.
     */
    private static final long READING_TTL_MILLIS = 5_000;

    private final Map<InstanceId, Reading> readings = new HashMap<>();
    private long lastSteadyMillis;
    private long lastWallMillis;
    private volatile long correctionMillis;

    /**
     * Creates a clock that knows only this instance's clocks.
     *
     * @param steadyMillis this instance's monotonic clock
     * @param wallMillis   this instance's wall clock
     */
    public MedianClock(long steadyMillis, long wallMillis) {
        lastSteadyMillis = steadyMillis;
        lastWallMillis = wallMillis;
    }

    /**
     * Records a reading of another instance's clock.
     *
     * @param peerWallMillis that instance's wall clock when it sent the message
     */
    public void recordReading(InstanceId peer, long peerWallMillis, long steadyMillis, long wallMillis) {
        advance(steadyMillis, wallMillis);
        readings.put(peer, new Reading(peerWallMillis - wallMillis, steadyMillis));
    }

    /**
     * Recomputes the correction: discards all readings if this instance's wall clock was set or the instance was
     * paused, and the readings of daemons that no longer send any.
     */
    public void advance(long steadyMillis, long wallMillis) {
        long stepMillis = wallMillis - lastWallMillis - (steadyMillis - lastSteadyMillis);
        lastSteadyMillis = steadyMillis;
        lastWallMillis = wallMillis;
        if (Math.abs(stepMillis) > MAX_STEP_MILLIS) {
            readings.clear();
        }
        readings.values().removeIf(reading -> steadyMillis - reading.readMillis() > READING_TTL_MILLIS);
        correctionMillis = median();
    }

    /** Returns the correction to be added to this instance's wall clock, in milliseconds. */
    public long correctionMillis() {
        return correctionMillis;
    }

    private long median() {
        long[] offsets = LongStream.concat(
                        LongStream.of(0), readings.values().stream().mapToLong(Reading::aheadMillis))
                .sorted()
                .toArray();
        return offsets[(offsets.length - 1) / 2];
    }

    /** How far another clock is ahead of this instance's, and when it was read on the monotonic clock. */
    private record Reading(long aheadMillis, long readMillis) {}
}
