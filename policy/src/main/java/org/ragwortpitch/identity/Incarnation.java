package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies an incarnation of a daemon, from its join to its departure.
 *
 * @param value a unique string, new on each join
 */
public record Incarnation(String value) implements Comparable<Incarnation> {

    /**
     * Rejects null.
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
