package org.ragwortpitch.configuration;

/**
 * What is wrong with a rule.
 *
 * @param line    the line's number, from 1
 * @param column  the column, from 1
 * @param problem the kind of error
 * @param message what is wrong, and the remedy
 */
public record RuleError(int line, int column, RuleProblem problem, String message) {

    @Override
    public String toString() {
        return line + ":" + column + ": " + message;
    }
}
