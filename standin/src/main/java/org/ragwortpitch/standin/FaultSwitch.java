package org.ragwortpitch.standin;

import java.util.SplittableRandom;

/**
 * The faults of one stand-in, which may change while it runs.
 */
final class FaultSwitch {

    /**
     * Chooses the calls that show a fault.
     */
    private final SplittableRandom random;

    /**
     * The faults now.
     */
    private volatile Faults faults = Faults.NONE;

    /**
     * Makes a switch without faults.
     *
     * @param seed the seed of the choice
     */
    FaultSwitch(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /**
     * Changes the faults.
     *
     * @param next the faults from now on
     */
    void set(Faults next) {
        faults = next;
    }

    /**
     * Tells the faults.
     *
     * @return the faults now
     */
    Faults get() {
        return faults;
    }

    /**
     * Chooses whether a call shows a fault.
     *
     * @param permille how many calls do, in thousandths
     * @return whether this one does
     */
    synchronized boolean hits(int permille) {
        return permille > 0 && random.nextInt(1000) < permille;
    }
}
