package org.ragwortpitch.configuration;

/**
 * An error in a rule.
 *
 * @param line    the line number, from 1
 * @param column  the column, from 1
 * @param problem the kind of error
 * @param message what is wrong and how to fix it
 */
public record RuleError(int line, int column, RuleProblem problem, String message) {

    @Override
    public String toString() {
        return line + ":" + column + ": " + message;
    }
}
