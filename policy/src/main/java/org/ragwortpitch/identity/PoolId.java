package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names a pool of endpoints that serve one model or service.
 *
 * @param value the pool's name in the rules
 */
public record PoolId(String value) implements Comparable<PoolId> {

    /**
     * Refuses a missing value.
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
