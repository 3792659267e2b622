package org.ragwortpitch.scaling;

/**
 * The endpoints of a pool in a failure domain.
 *
 * @param firm        those that stay
 * @param reclaimable those that the platform may take away
 */
public record DomainFleet(int firm, int reclaimable) {

    /**
     * Counts both kinds.
     */
    public int total() {
        return firm + reclaimable;
    }
}
