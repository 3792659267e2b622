package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names a caller's request, kept over its attempts.
 *
 * @param value a text unique within the client account
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /**
     * Refuses a missing value.
     */
    public RequestId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
