package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names an operation that may run at most once.
 *
 * @param value the caller's UUID of version 7
 */
public record OperationId(String value) implements Comparable<OperationId> {

    /**
     * Refuses a missing value.
     */
    public OperationId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(OperationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
