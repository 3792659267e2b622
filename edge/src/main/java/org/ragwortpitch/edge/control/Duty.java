package org.ragwortpitch.edge.control;

/**
 * Work that only the holder of the duties' lease carries out.
 */
@FunctionalInterface
interface Duty {

    /**
     * Carries out the work that is due.
     *
     * @param refused called when a call was refused because another holder has acted since
     */
    void step(long fencingToken, Runnable refused);
}
