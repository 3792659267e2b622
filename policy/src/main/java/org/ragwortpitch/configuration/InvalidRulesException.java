package org.ragwortpitch.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if any rule is invalid. None of the rules is applied.
 */
public final class InvalidRulesException extends Exception {

    /**
     * The errors in file order.
     */
    private final transient List<RuleError> errors;

    /**
     * Creates an exception whose message lists the errors, one per line.
     *
     * @param errors the errors in file order, at least one
     */
    public InvalidRulesException(List<RuleError> errors) {
        super(errors.stream().map(RuleError::toString).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the errors in file order.
     */
    public List<RuleError> errors() {
        return errors;
    }
}
