package org.ragwortpitch.configuration;

/**
 * The kinds of errors in rules.
 */
public enum RuleProblem {
    /**
     * The file is not valid UTF-8, or a line contains a control character.
     */
    BAD_TEXT,
    /**
     * A line is too long, or there are too many rules.
     */
    TOO_LARGE,
    /**
     * No comment names the requester of the rule.
     */
    NOBODY_ASKED,
    /**
     * The first word of the line is not a rule kind.
     */
    UNKNOWN_KIND,
    /**
     * The id is missing or not a valid name.
     */
    BAD_ID,
    /**
     * An attribute is unknown, malformed or given twice.
     */
    BAD_ATTRIBUTE,
    /**
     * The value of an attribute is invalid.
     */
    BAD_VALUE,
    /**
     * A required attribute is missing.
     */
    MISSING_ATTRIBUTE,
    /**
     * Another rule has the same kind and id, or the same key hash or path.
     */
    DUPLICATE,
    /**
     * The rule refers to one that does not exist.
     */
    DANGLING
}
