package org.ragwortpitch.configuration;

import java.util.Optional;

/**
 * Validates the value of an attribute.
 */
@FunctionalInterface
public interface AttributeType {

    /**
     * Validates a value.
     *
     * @return a description of the expected form if the value is invalid, otherwise empty
     */
    Optional<String> expectedFormIfInvalid(String value);
}
