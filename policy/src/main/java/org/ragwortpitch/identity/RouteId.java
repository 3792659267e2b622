package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names a route.
 *
 * @param value the route's name in the rules
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /**
     * Refuses a missing value.
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
