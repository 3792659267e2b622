package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names an endpoint.
 *
 * @param value the endpoint's name in the rules
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /**
     * Refuses a missing value.
     */
    public EndpointId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
