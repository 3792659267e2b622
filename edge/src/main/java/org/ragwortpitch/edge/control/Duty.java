package org.ragwortpitch.edge.control;

/**
 * Work that one daemon at a time does for all.
 */
@FunctionalInterface
interface Duty {

    /**
     * Does what is due, as the holder.
     *
     * @param refused hears that another holder has acted since
     */
    void step(long fencingToken, Runnable refused);
}
