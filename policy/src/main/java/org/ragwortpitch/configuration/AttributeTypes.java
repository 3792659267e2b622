package org.ragwortpitch.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The types of attributes.
 */
public final class AttributeTypes {

    /**
     * How names look.
     */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    /**
     * How addresses look.
     */
    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.:\\[\\]-]{1,255}:([0-9]{1,5})");

    /**
     * Not to be made.
     */
    private AttributeTypes() {}

    /**
     * Takes a whole number.
     *
     * @param least the least
     * @param most  the most
     * @return the type
     */
    public static AttributeType integer(long least, long most) {
        return value -> isBetween(value, least, most)
                ? Optional.empty()
                : Optional.of("a whole number from " + least + " to " + most);
    }

    /**
     * Takes a name.
     *
     * @return the type
     */
    public static AttributeType name() {
        return value -> isName(value)
                ? Optional.empty()
                : Optional.of("a name of 1 to 63 letters, digits, dots, hyphens or underscores");
    }

    /**
     * Tells whether a text is a name.
     *
     * @param value the text
     * @return whether it is one
     */
    static boolean isName(String value) {
        return NAME.matcher(value).matches();
    }

    /**
     * Takes one of several words.
     *
     * @param constants the constants that the words stand for
     * @return the type
     */
    public static AttributeType oneOf(Enum<?>... constants) {
        List<String> words = Arrays.stream(constants).map(RuleKind::wordOf).toList();
        return value -> words.contains(value) ? Optional.empty() : Optional.of("one of " + String.join(", ", words));
    }

    /**
     * Takes text of a form.
     *
     * @param pattern the form, as a regular expression
     * @return the type
     */
    public static AttributeType matching(String pattern) {
        Pattern compiled = Pattern.compile(pattern);
        return value ->
                compiled.matcher(value).matches() ? Optional.empty() : Optional.of("text of the form " + pattern);
    }

    /**
     * Takes a host and port.
     *
     * @return the type
     */
    public static AttributeType address() {
        return value -> {
            var matcher = ADDRESS.matcher(value);
            boolean valid = matcher.matches() && isBetween(matcher.group(1), 1, 65_535);
            return valid ? Optional.empty() : Optional.of("a host and a port from 1 to 65535, such as 10.0.0.7:9000");
        };
    }

    /**
     * Tells whether a text is a whole number within bounds.
     *
     * @param value the text
     * @param least the least
     * @param most  the most
     * @return whether it is
     */
    private static boolean isBetween(String value, long least, long most) {
        try {
            long number = Long.parseLong(value);
            return number >= least && number <= most;
        } catch (NumberFormatException exception) {
            return false;
        }
    }
}
