package org.ragwortpitch.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses an endpoint for a request.
 */
@FunctionalInterface
public interface EndpointChooser {

    /**
     * Chooses one of the candidates.
     *
     * @param demand     the estimated cost of the request
     * @param candidates the endpoints that can serve it
     * @return the choice; empty if there are no candidates
     */
    Optional<EndpointCandidate> choose(RequestCost demand, List<EndpointCandidate> candidates);
}
