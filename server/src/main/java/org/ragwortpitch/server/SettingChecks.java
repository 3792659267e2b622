package org.ragwortpitch.server;

import java.net.URI;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Validation of single setting values. Each method throws an exception that names the flag.
 */
final class SettingChecks {

    private static final int MIN_SECRET_CHARACTERS = 16;

    private SettingChecks() {}

    /**
     * Requires a number within inclusive bounds.
     *
     * @param name  the flag
     * @param value the number
     * @param min   the lower bound
     * @param max   the upper bound
     * @throws InvalidSettingException if the number is out of bounds
     */
    static void requireBetween(String name, long value, long min, long max) throws InvalidSettingException {
        if (value < min || value > max) {
            throw new InvalidSettingException(name, Long.toString(value), "use " + min + " to " + max);
        }
    }

    /**
     * Requires a name of 1 to 63 letters, digits, dots, hyphens and underscores that starts with a letter or digit.
     *
     * @param name  the flag
     * @param value the name
     * @throws InvalidSettingException if the name has another form
     */
    static void requireName(String name, String value) throws InvalidSettingException {
        if (!value.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            throw new InvalidSettingException(name, value, "use 1 to 63 letters, digits, dots, hyphens, underscores");
        }
    }

    /**
     * Requires a secret of a minimum length. The exception does not disclose the secret.
     *
     * @param name  the flag
     * @param value the secret
     * @throws InvalidSettingException if the secret is too short
     */
    static void requireSecret(String name, String value) throws InvalidSettingException {
        if (value.length() < MIN_SECRET_CHARACTERS) {
            throw new InvalidSettingException(name, "(hidden)", "use " + MIN_SECRET_CHARACTERS + " characters or more");
        }
    }

    /**
     * Requires an {@code http} URI with a host.
     *
     * @param name  the flag
     * @param value the URI
     * @throws InvalidSettingException if the URI is malformed or has another scheme
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
