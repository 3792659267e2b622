package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Identifies a client account.
 *
 * @param value the name of the account in the configuration
 */
public record AccountId(String value) implements Comparable<AccountId> {

    /**
     * Rejects null.
     */
    public AccountId {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
