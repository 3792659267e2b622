package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a transfer of quota between two daemons.
 *
 * @param value a unique string chosen by the requester
 */
public record TransferId(String value) implements Comparable<TransferId> {

    /**
     * Rejects null.
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
