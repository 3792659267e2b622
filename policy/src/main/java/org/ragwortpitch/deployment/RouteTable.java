package org.ragwortpitch.deployment;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.identity.Region;

/**
 * Finds routes by host and longest path prefix, with one lookup per slash in the path.
 */
public final class RouteTable {

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /**
     * Indexes routes. If two have the same host and prefix, the later one wins.
     */
    public RouteTable(List<Route> routes) {
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route));
    }

    /**
     * Returns all regions that may serve requests to a host; empty if a route of it has no homes, or none has the host.
     *
     * @param host the host, in lower case and without a port
     */
    public Set<Region> homes(String host) {
        Collection<Route> routes = byHost.getOrDefault(host, Map.of()).values();
        return routes.stream().anyMatch(route -> route.homes().isEmpty())
                ? Set.of()
                : routes.stream().flatMap(route -> route.homes().stream()).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the route with the longest matching prefix, or empty if none matches.
     *
     * @param host the request's host, in lower case and without a port
     * @param path the path, without a query
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = byHost.getOrDefault(host, Map.of());
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (slash == 0) {
                break;
            }
        }
        return Optional.empty();
    }
}
