package org.ragwortpitch.configuration;

import java.util.Optional;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.RouteId;

/**
 * A route.
 *
 * @param id             the route
 * @param path           the path prefix, matched by whole segments
 * @param access         who may use it
 * @param repetition     whether its requests may run more than once
 * @param requestClass   the request class, a label of histograms
 * @param priority       the priority; 0 is the most urgent
 * @param service        the pool of the service; empty for model routes, whose pool follows from the request's model
 * @param deadlineMillis the deadline of a request, in milliseconds from its arrival
 */
public record RouteRule(
        RouteId id,
        String path,
        Access access,
        Repeatability repetition,
        String requestClass,
        int priority,
        Optional<PoolId> service,
        long deadlineMillis) {

    /**
     * Returns whether this route matches a path.
     *
     * @param requestPath the request's path, without its query
     */
    public boolean covers(String requestPath) {
        return requestPath.equals(path) || (requestPath.startsWith(path) && requestPath.charAt(path.length()) == '/');
    }
}
