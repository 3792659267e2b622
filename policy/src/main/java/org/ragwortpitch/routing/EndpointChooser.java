package org.ragwortpitch.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses an endpoint for a request.
 */
@FunctionalInterface
public interface EndpointChooser {

    /**
     * Chooses.
     *
     * @param demand     what the request asks
     * @param candidates the endpoints that could serve it
     * @return the choice, or nothing without candidates
     */
    Optional<EndpointState> choose(Demand demand, List<EndpointState> candidates);
}
