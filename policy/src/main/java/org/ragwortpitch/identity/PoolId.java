package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a pool of endpoints that serve one model or service.
 *
 * @param value the name of the pool in the configuration
 */
public record PoolId(String value) implements Comparable<PoolId> {

    /**
     * Rejects null.
     */
    public PoolId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
