package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a failure domain.
 *
 * @param value the name of the failure domain
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /**
     * Rejects null.
     */
    public FailureDomain {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
