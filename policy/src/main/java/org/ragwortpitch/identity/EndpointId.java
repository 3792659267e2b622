package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies an endpoint.
 *
 * @param value the name of the endpoint in the rules or in the platform's list
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /**
     * Rejects null.
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
