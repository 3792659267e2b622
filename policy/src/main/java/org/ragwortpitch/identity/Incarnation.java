package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names one life of a daemon, from its join to its departure.
 *
 * @param value a unique text, new at each join
 */
public record Incarnation(String value) implements Comparable<Incarnation> {

    /**
     * Refuses a missing value.
     */
    public Incarnation {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(Incarnation other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
