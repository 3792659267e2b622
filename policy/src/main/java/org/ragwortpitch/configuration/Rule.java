package org.ragwortpitch.configuration;

import java.util.Map;
import java.util.TreeMap;

/**
 * A rule as it stands in the file.
 *
 * @param kind       the kind
 * @param id         the rule's name, unique within its kind
 * @param attributes the attributes that the line gives
 * @param askedBy    the comment, which says who asked for it
 * @param line       the line's number, from 1
 * @param text       the whole line without spaces at its ends
 */
public record Rule(RuleKind kind, String id, Map<String, String> attributes, String askedBy, int line, String text) {

    /**
     * Copies the attributes.
     */
    public Rule {
        attributes = Map.copyOf(new TreeMap<>(attributes));
    }

    /**
     * Tells what names the rule among all rules.
     *
     * @return the kind's word and the id
     */
    public String key() {
        return kind.word() + " " + id;
    }

    /**
     * Tells an attribute's value or its default.
     *
     * @param name the attribute's name, one that the kind takes
     * @return the value
     */
    public String get(String name) {
        String given = attributes.get(name);
        return given != null
                ? given
                : kind.attribute(name).flatMap(AttributeSpec::defaultValue).orElseThrow();
    }

    /**
     * Tells the value of an attribute that is a whole number.
     *
     * @param name the attribute's name
     * @return the value
     */
    public long getLong(String name) {
        return Long.parseLong(get(name));
    }

    /**
     * Tells the value of an attribute that is one of several words.
     *
     * @param name the attribute's name
     * @param type the constants that the words stand for
     * @param <T>  the constants' type
     * @return the value
     */
    public <T extends Enum<T>> T getEnum(String name, Class<T> type) {
        for (T constant : type.getEnumConstants()) {
            if (RuleKind.wordOf(constant).equals(get(name))) {
                return constant;
            }
        }
        throw new IllegalStateException("unchecked value of " + name);
    }
}
