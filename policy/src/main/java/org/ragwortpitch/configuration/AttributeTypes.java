package org.ragwortpitch.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Factory methods for attribute types.
 */
public final class AttributeTypes {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.:\\[\\]-]{1,255}:([0-9]{1,5})");

    private AttributeTypes() {}

    /**
     * Accepts whole numbers from a minimum to a maximum, both included.
     */
    public static AttributeType integer(long minimum, long maximum) {
        return value -> isBetween(value, minimum, maximum)
                ? Optional.empty()
                : Optional.of("a whole number from " + minimum + " to " + maximum);
    }

    /**
     * Accepts names and ids.
     */
    public static AttributeType name() {
        return value -> isName(value)
                ? Optional.empty()
                : Optional.of("a name of 1 to 63 letters, digits, dots, hyphens or underscores");
    }

    static boolean isName(String value) {
        return NAME.matcher(value).matches();
    }

    /**
     * Accepts the keywords of enum constants.
     */
    public static AttributeType oneOf(Enum<?>... constants) {
        List<String> keywords =
                Arrays.stream(constants).map(RuleKind::keywordOf).toList();
        return value ->
                keywords.contains(value) ? Optional.empty() : Optional.of("one of " + String.join(", ", keywords));
    }

    /**
     * Accepts text that matches a regular expression.
     */
    public static AttributeType matching(String pattern) {
        Pattern compiled = Pattern.compile(pattern);
        return value -> compiled.matcher(value).matches() ? Optional.empty() : Optional.of("text matching " + pattern);
    }

    /**
     * Accepts a host and a port.
     */
    public static AttributeType address() {
        return value -> {
            var matcher = ADDRESS.matcher(value);
            boolean valid = matcher.matches() && isBetween(matcher.group(1), 1, 65_535);
            return valid ? Optional.empty() : Optional.of("a host and a port from 1 to 65535, such as 10.0.0.7:9000");
        };
    }

    private static boolean isBetween(String value, long minimum, long maximum) {
        try {
            long number = Long.parseLong(value);
            return number >= minimum && number <= maximum;
        } catch (NumberFormatException exception) {
            return false;
        }
    }
}
