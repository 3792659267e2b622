package org.ragwortpitch.edge.traffic;

import java.util.Set;
import java.util.function.Predicate;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Which endpoints a request may be sent to, as far as this depends on the request.
 *
 * @param excluded endpoints that the request has already tried; may grow
 * @param domains  the failure domains that may serve it
 */
record EndpointScope(Set<EndpointId> excluded, Predicate<FailureDomain> domains) {

    /** All endpoints. */
    static final EndpointScope ALL = new EndpointScope(Set.of(), domain -> true);

    boolean includes(Endpoint endpoint) {
        return !excluded.contains(endpoint.id()) && domains.test(endpoint.domain());
    }
}
