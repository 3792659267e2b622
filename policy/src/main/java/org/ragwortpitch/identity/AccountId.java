package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * Names a client account.
 *
 * @param value the account's name in the rules
 */
public record AccountId(String value) implements Comparable<AccountId> {

    /**
     * Refuses a missing value.
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
