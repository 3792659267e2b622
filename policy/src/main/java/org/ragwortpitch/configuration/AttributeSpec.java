package org.ragwortpitch.configuration;

import java.util.Optional;

/**
 * An attribute that a rule kind accepts.
 *
 * @param name         the attribute's name
 * @param type         validates its value
 * @param defaultValue the value if the attribute is omitted; empty if it is required
 */
public record AttributeSpec(String name, AttributeType type, Optional<String> defaultValue) {

    /**
     * Creates an attribute that must be given.
     */
    static AttributeSpec required(String name, AttributeType type) {
        return new AttributeSpec(name, type, Optional.empty());
    }

    /**
     * Creates an attribute that may be omitted.
     */
    static AttributeSpec optional(String name, AttributeType type, String defaultValue) {
        return new AttributeSpec(name, type, Optional.of(defaultValue));
    }
}
