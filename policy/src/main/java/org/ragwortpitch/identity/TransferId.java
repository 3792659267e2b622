package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names one transfer of allowance between two daemons.
 *
 * @param value a unique text chosen by the requester
 */
public record TransferId(String value) implements Comparable<TransferId> {

    /**
     * Refuses a missing value.
     */
    public TransferId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(TransferId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
