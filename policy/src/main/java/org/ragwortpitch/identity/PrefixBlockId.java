package org.ragwortpitch.identity;

/**
 * Identifies a prefix block of prompts by its content.
 *
 * @param value an unsigned number
 */
public record PrefixBlockId(long value) implements Comparable<PrefixBlockId> {

    @Override
    public int compareTo(PrefixBlockId other) {
        return Long.compareUnsigned(value, other.value);
    }

    /**
     * Returns the id in hexadecimal.
     */
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
