package org.ragwortpitch.clock;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.LongStream;
import org.ragwortpitch.identity.InstanceId;

/**
 * Corrects this instance's wall clock by the median of what all daemons' clocks show, so that a wrong one changes
 * nothing while most are right. Confined to one thread, but for the correction, which any thread may read.
 */
public final class AgreedClock {

    /** A step between the own clocks from which on what others showed is forgotten, in milliseconds: above drift. */
    private static final long STEP_MILLIS = 200;

    /** How long the word of another daemon counts, in milliseconds: it comes anew several times meanwhile. */
    private static final long KEPT_MILLIS = 5_000;

    private final Map<InstanceId, Shown> shown = new HashMap<>();
    private long lastSteadyMillis;
    private long lastWallMillis;
    private volatile long correctionMillis;

    /**
     * Makes a clock that knows this instance's only.
     *
     * @param steadyMillis the monotonic clock
     * @param wallMillis   the wall clock of this instance
     */
    public AgreedClock(long steadyMillis, long wallMillis) {
        lastSteadyMillis = steadyMillis;
        lastWallMillis = wallMillis;
    }

    /**
     * Notes what the clock of another instance shows.
     *
     * @param peerWallMillis that instance's wall clock as it was sent
     */
    public void heard(InstanceId peer, long peerWallMillis, long steadyMillis, long wallMillis) {
        advance(steadyMillis, wallMillis);
        shown.put(peer, new Shown(peerWallMillis - wallMillis, steadyMillis));
    }

    /**
     * Takes the passing of time into account: a clock that was set, or an instance that stood still, and daemons that
     * aren't heard of any more.
     */
    public void advance(long steadyMillis, long wallMillis) {
        long stepMillis = wallMillis - lastWallMillis - (steadyMillis - lastSteadyMillis);
        lastSteadyMillis = steadyMillis;
        lastWallMillis = wallMillis;
        if (Math.abs(stepMillis) > STEP_MILLIS) {
            shown.clear();
        }
        shown.values().removeIf(peer -> steadyMillis - peer.atMillis() > KEPT_MILLIS);
        correctionMillis = median();
    }

    /**
     * Tells what is to be added to this instance's wall clock, in milliseconds.
     */
    public long correctionMillis() {
        return correctionMillis;
    }

    private long median() {
        long[] offsets = LongStream.concat(
                        LongStream.of(0), shown.values().stream().mapToLong(Shown::aheadMillis))
                .sorted()
                .toArray();
        return offsets[(offsets.length - 1) / 2];
    }

    /**
     * How far another clock is ahead of the own one, and since when that is known.
     */
    private record Shown(long aheadMillis, long atMillis) {}
}
