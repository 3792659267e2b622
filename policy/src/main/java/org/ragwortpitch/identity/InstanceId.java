package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names an instance.
 *
 * @param value the instance's name, kept over restarts
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Refuses a missing value.
     */
    public InstanceId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
