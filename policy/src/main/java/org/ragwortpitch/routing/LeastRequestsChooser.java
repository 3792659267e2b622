package org.ragwortpitch.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint with the fewest requests in flight; a baseline for comparison.
 */
public enum LeastRequestsChooser implements EndpointChooser {
    /**
     * The singleton instance.
     */
    INSTANCE;

    @Override
    public Optional<EndpointCandidate> choose(RequestCost demand, List<EndpointCandidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingInt(EndpointCandidate::requests).thenComparing(EndpointCandidate::id));
    }
}
