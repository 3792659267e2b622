package org.ragwortpitch.scaling;

/**
 * Number of endpoints of a pool in a failure domain, by supply.
 *
 * @param firm        the on-demand endpoints
 * @param reclaimable the spot endpoints, which the platform may reclaim
 */
public record DomainFleet(int firm, int reclaimable) {

    /**
     * Returns the number of endpoints of both supplies.
     */
    public int total() {
        return firm + reclaimable;
    }
}
