package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies an instance.
 *
 * @param value the name of the instance, stable across restarts
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Rejects null.
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
