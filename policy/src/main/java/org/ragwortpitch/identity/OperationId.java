package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies an operation that may run at most once.
 *
 * @param value the UUID version 7 chosen by the caller
 */
public record OperationId(String value) implements Comparable<OperationId> {

    /**
     * Rejects null.
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
