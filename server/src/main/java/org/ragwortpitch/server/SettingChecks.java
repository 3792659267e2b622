package org.ragwortpitch.server;

import java.net.URI;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Checks of single settings.
 */
final class SettingChecks {

    /**
     * The shortest secret, in characters.
     */
    private static final int MIN_SECRET_CHARACTERS = 16;

    /**
     * Not to be made.
     */
    private SettingChecks() {}

    /**
     * Requires a number within bounds.
     *
     * @param name  the flag
     * @param value the number
     * @param least the least
     * @param most  the most
     * @throws InvalidSettingException if it is not
     */
    static void requireBetween(String name, long value, long least, long most) throws InvalidSettingException {
        if (value < least || value > most) {
            throw new InvalidSettingException(name, Long.toString(value), "use " + least + " to " + most);
        }
    }

    /**
     * Requires a name.
     *
     * @param name  the flag
     * @param value the name
     * @throws InvalidSettingException if it is not
     */
    static void requireName(String name, String value) throws InvalidSettingException {
        if (!value.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            throw new InvalidSettingException(name, value, "use 1 to 63 letters, digits, dots, hyphens, underscores");
        }
    }

    /**
     * Requires a secret that is long enough. Its value is not told.
     *
     * @param name  the flag
     * @param value the secret
     * @throws InvalidSettingException if it is too short
     */
    static void requireSecret(String name, String value) throws InvalidSettingException {
        if (value.length() < MIN_SECRET_CHARACTERS) {
            throw new InvalidSettingException(name, "(hidden)", "use " + MIN_SECRET_CHARACTERS + " characters or more");
        }
    }

    /**
     * Requires a URI of HTTP.
     *
     * @param name  the flag
     * @param value the URI
     * @throws InvalidSettingException if it is none
     */
    static void requireUri(String name, String value) throws InvalidSettingException {
        try {
            URI uri = URI.create(value);
            if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
                return;
            }
        } catch (IllegalArgumentException exception) {
            throw new InvalidSettingException(name, value, "use a URI such as http://10.0.0.1:7000");
        }
        throw new InvalidSettingException(name, value, "use a URI such as http://10.0.0.1:7000");
    }
}
