package org.ragwortpitch.configuration;

import java.util.Optional;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.RouteId;

/**
 * A route.
 *
 * @param id             the route
 * @param path           the path that it starts with
 * @param access         who may use it
 * @param repetition     whether its calls may run more than once
 * @param requestClass   the class of request, for histograms
 * @param priority       the priority, 0 being the most urgent
 * @param service        the pool of the service; empty for model routes, whose pool follows from the request's model
 * @param deadlineMillis how long a request may take in all, in milliseconds
 */
public record RouteRule(
        RouteId id,
        String path,
        Access access,
        Repetition repetition,
        String requestClass,
        int priority,
        Optional<PoolId> service,
        long deadlineMillis) {

    /**
     * Tells whether a path lies on this route.
     *
     * @param requestPath the request's path, without its query
     * @return whether it does
     */
    public boolean covers(String requestPath) {
        return requestPath.equals(path) || (requestPath.startsWith(path) && requestPath.charAt(path.length()) == '/');
    }
}
