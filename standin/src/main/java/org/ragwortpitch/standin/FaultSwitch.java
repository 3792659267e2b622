package org.ragwortpitch.standin;

import java.util.SplittableRandom;

/**
 * Holds the faults to inject, which may change at run time, and draws the calls that they hit. Thread-safe.
 */
final class FaultSwitch {

    private final SplittableRandom random;

    private volatile Faults faults = Faults.NONE;

    /**
     * Creates a switch without faults.
     *
     * @param seed the seed of the random draw, so that a run can be repeated
     */
    FaultSwitch(long seed) {
        this.random = new SplittableRandom(seed);
    }

    void set(Faults next) {
        faults = next;
    }

    Faults get() {
        return faults;
    }

    /**
     * Draws whether the next call shows a fault.
     *
     * @param permille the share of calls that do, in thousandths
     */
    synchronized boolean hits(int permille) {
        return permille > 0 && random.nextInt(1000) < permille;
    }
}
