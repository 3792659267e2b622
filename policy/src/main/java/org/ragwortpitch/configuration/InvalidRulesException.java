package org.ragwortpitch.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Rules that cannot be taken. Nothing of them is applied.
 */
public final class InvalidRulesException extends Exception {

    /**
     * The errors, in the order of the lines.
     */
    private final transient List<RuleError> errors;

    /**
     * Makes the exception.
     *
     * @param errors the errors, at least one
     */
    public InvalidRulesException(List<RuleError> errors) {
        super(errors.stream().map(RuleError::toString).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Tells the errors.
     *
     * @return the errors, in the order of the lines
     */
    public List<RuleError> errors() {
        return errors;
    }
}
