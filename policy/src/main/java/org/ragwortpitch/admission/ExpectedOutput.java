package org.ragwortpitch.admission;

import java.util.regex.Pattern;

/**
 * The output that a request is expected to have, which its caller may state.
 */
public final class ExpectedOutput {

    private static final Pattern HINT = Pattern.compile("[0-9]{1,9}");

    private ExpectedOutput() {}

    /**
     * Returns the expected length of the output, in tokens: the hint, but at most the limit. A hint that is not a
     * positive number of up to nine digits counts as absent.
     *
     * @param hint            what the caller expects; null if it states nothing
     * @param maxOutputTokens the output limit of the request
     */
    public static int tokens(String hint, int maxOutputTokens) {
        if (hint == null || !HINT.matcher(hint.trim()).matches()) {
            return maxOutputTokens;
        }
        int tokens = Integer.parseInt(hint.trim());
        return tokens == 0 ? maxOutputTokens : Math.min(tokens, maxOutputTokens);
    }
}
