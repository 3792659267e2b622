package org.ragwortpitch.configuration;

import java.util.Map;
import java.util.TreeMap;

/**
 * A parsed rule.
 *
 * @param kind       the kind
 * @param id         the rule's id, unique within its kind
 * @param attributes the attributes given on the line, without defaults
 * @param askedBy    the comment, which names the requester of the rule
 * @param line       the line number, from 1
 * @param text       the line without surrounding white space
 */
public record Rule(RuleKind kind, String id, Map<String, String> attributes, String askedBy, int line, String text) {

    /**
     * Copies the attributes.
     */
    public Rule {
        attributes = Map.copyOf(new TreeMap<>(attributes));
    }

    /**
     * Returns the key, unique among all rules: the kind's keyword and the id.
     */
    public String key() {
        return kind.keyword() + " " + id;
    }

    /**
     * Returns the value of an attribute, or its default.
     *
     * @param name the name of an attribute that the kind accepts
     */
    public String get(String name) {
        String given = attributes.get(name);
        return given != null
                ? given
                : kind.attribute(name).flatMap(AttributeSpec::defaultValue).orElseThrow();
    }

    /**
     * Returns the value of an attribute that is a whole number.
     */
    public long getLong(String name) {
        return Long.parseLong(get(name));
    }

    /**
     * Returns the value of an attribute that is one of a fixed set of keywords.
     *
     * @param type the enum whose constants the keywords stand for
     * @param <T>  the enum type
     */
    public <T extends Enum<T>> T getEnum(String name, Class<T> type) {
        for (T constant : type.getEnumConstants()) {
            if (RuleKind.keywordOf(constant).equals(get(name))) {
                return constant;
            }
        }
        throw new IllegalStateException("value was not validated: " + name);
    }
}
