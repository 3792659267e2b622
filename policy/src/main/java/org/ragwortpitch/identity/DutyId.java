package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a duty, which is carried out by one daemon at a time.
 *
 * @param value the name of the duty
 */
public record DutyId(String value) implements Comparable<DutyId> {

    /**
     * Rejects null.
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
