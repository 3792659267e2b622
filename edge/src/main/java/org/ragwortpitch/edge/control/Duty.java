package org.ragwortpitch.edge.control;

/**
 * Work that only the holder of the duties' lease carries out.
 */
@FunctionalInterface
interface Duty {

    /**
     * Carries out the work that is due.
     */
    void step(DutyTenure tenure);
}
