package org.ragwortpitch.configuration;

/**
 * The kinds of errors in rules.
 */
public enum RuleProblem {
    /**
     * The file is not text as wanted.
     */
    BAD_TEXT,
    /**
     * A line is too long, or there are too many.
     */
    TOO_LARGE,
    /**
     * No comment says who asked for the rule.
     */
    NOBODY_ASKED,
    /**
     * The first word is no kind of rule.
     */
    UNKNOWN_KIND,
    /**
     * The id is missing or no name.
     */
    BAD_ID,
    /**
     * A word is no attribute of the kind, or stands twice.
     */
    BAD_ATTRIBUTE,
    /**
     * A value is not what its attribute takes.
     */
    BAD_VALUE,
    /**
     * An attribute is missing.
     */
    MISSING_ATTRIBUTE,
    /**
     * Another rule has the same kind and id, or the same hash or path.
     */
    DUPLICATE,
    /**
     * The rule names another one that is not there.
     */
    DANGLING
}
