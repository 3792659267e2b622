package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a route.
 *
 * @param value the name of the route in the configuration
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /**
     * Rejects null.
     */
    public RouteId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
