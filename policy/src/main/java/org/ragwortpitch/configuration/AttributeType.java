package org.ragwortpitch.configuration;

import java.util.Optional;

/**
 * Checks the text of an attribute's value.
 */
@FunctionalInterface
public interface AttributeType {

    /**
     * Checks a value.
     *
     * @param value the text
     * @return what is wanted instead, or nothing if the value will do
     */
    Optional<String> problemWith(String value);
}
