package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names a failure domain.
 *
 * @param value the failure domain's name
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /**
     * Refuses a missing value.
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
