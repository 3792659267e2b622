package org.ragwortpitch.overflow;

/**
 * Demand on a pool from the daemons of a failure domain, and what the pool's engines there can prefill.
 *
 * @param demandTokensPerMilli   the prompt tokens to prefill, in tokens per millisecond
 * @param capacityTokensPerMilli the prefill throughput of the domain's engines, in tokens per millisecond; 0 if it has
 *                               none
 * @param ageMillis              the time since the demand was received, in milliseconds
 * @param overflowing            whether the domain says that it sends demand to others
 */
public record DomainLoad(
        double demandTokensPerMilli, double capacityTokensPerMilli, long ageMillis, boolean overflowing) {

    /**
     * Returns whether both rates are finite and not negative.
     */
    boolean isValid() {
        return isRate(demandTokensPerMilli) && isRate(capacityTokensPerMilli);
    }

    private static boolean isRate(double value) {
        return Double.isFinite(value) && value >= 0;
    }
}
