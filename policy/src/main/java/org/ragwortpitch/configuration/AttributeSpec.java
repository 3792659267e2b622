package org.ragwortpitch.configuration;

import java.util.Optional;

/**
 * An attribute that a kind of rule takes.
 *
 * @param name         the attribute's name
 * @param type         the check of its value
 * @param defaultValue the value when it is left out; empty if it may not be
 */
public record AttributeSpec(String name, AttributeType type, Optional<String> defaultValue) {

    /**
     * Makes an attribute that may not be left out.
     *
     * @param name the name
     * @param type the check of its value
     * @return the attribute
     */
    static AttributeSpec required(String name, AttributeType type) {
        return new AttributeSpec(name, type, Optional.empty());
    }

    /**
     * Makes an attribute with a default.
     *
     * @param name         the name
     * @param type         the check of its value
     * @param defaultValue the value when it is left out
     * @return the attribute
     */
    static AttributeSpec optional(String name, AttributeType type, String defaultValue) {
        return new AttributeSpec(name, type, Optional.of(defaultValue));
    }
}
