package org.ragwortpitch.identity;

import java.util.Objects;

/**
 * The name of a region, which consists of one or more failure domains.
 */
public record Region(String value) {

    /**
     * Checks that there is a name.
     */
    public Region {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
