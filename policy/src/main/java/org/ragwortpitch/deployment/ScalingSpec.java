package org.ragwortpitch.deployment;

import java.util.Map;
import org.ragwortpitch.identity.FailureDomain;

/**
 * How many endpoints of a pool may be ordered.
 *
 * @param min        the fewest in a failure domain, firm and reclaimable ones together
 * @param max        the most in a failure domain, firm and reclaimable ones together
 * @param bootMillis until a new endpoint serves, in milliseconds
 * @param spotPrice  the price of a reclaimable endpoint, as a part of a firm one's; 0 where there are none
 * @param prices     the price of a second of a firm endpoint, by failure domain
 */
public record ScalingSpec(int min, int max, long bootMillis, double spotPrice, Map<FailureDomain, Double> prices) {

    /**
     * Copies the prices.
     */
    public ScalingSpec {
        prices = Map.copyOf(prices);
    }
}
