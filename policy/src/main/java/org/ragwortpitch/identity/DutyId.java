package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names a duty that one daemon at a time carries out.
 *
 * @param value the duty's name
 */
public record DutyId(String value) implements Comparable<DutyId> {

    /**
     * Refuses a missing value.
     */
    public DutyId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(DutyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
