package org.ragwortpitch.scaling;

/**
 * Number of endpoints of a pool in a failure domain, by supply.
 *
 * @param onDemand the on-demand endpoints
 * @param spot     the spot endpoints, which the platform may reclaim
 */
public record DomainFleet(int onDemand, int spot) {

    /**
     * Returns the number of endpoints of both supplies.
     */
    public int total() {
        return onDemand + spot;
    }
}
