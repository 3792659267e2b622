package org.ragwortpitch.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint with the fewest requests in flight; a baseline for comparison.
 */
public enum ForLeastRequests implements EndpointChooser {
    /**
     * The singleton instance.
     */
    INSTANCE;

    @Override
    public Optional<EndpointState> choose(Demand demand, List<EndpointState> candidates) {
        return candidates.stream()
                .min(Comparator.comparingInt(EndpointState::requests).thenComparing(EndpointState::id));
    }
}
