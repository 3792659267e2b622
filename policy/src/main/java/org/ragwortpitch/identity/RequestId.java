package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a request of a caller; all attempts of the request share it.
 *
 * @param value a string unique within the client account
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /**
     * Rejects null.
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
