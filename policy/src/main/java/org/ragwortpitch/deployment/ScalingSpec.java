package org.ragwortpitch.deployment;

import java.util.Map;
import org.ragwortpitch.identity.FailureDomain;

/**
 * The bounds of a pool's size and the prices of its endpoints.
 *
 * @param min        the minimum number of endpoints in a failure domain, on-demand and spot together
 * @param max        the maximum number of endpoints in a failure domain, on-demand and spot together
 * @param bootMillis the time from the start of an endpoint until it serves, in milliseconds
 * @param spotPrice  the price of a spot endpoint, as a fraction of the on-demand price; 0 if there are none
 * @param prices     the price of an on-demand endpoint per second, by failure domain
 */
public record ScalingSpec(int min, int max, long bootMillis, double spotPrice, Map<FailureDomain, Double> prices) {

    /**
     * Copies the prices.
     */
    public ScalingSpec {
        prices = Map.copyOf(prices);
    }
}
