package org.ragwortpitch.suspect;

import org.ragwortpitch.identity.KeyHash;

/**
 * Tells requests of the same content, whoever sends them under whatever id.
 *
 * @param value the fingerprint, as hexadecimal digits
 */
public record Fingerprint(String value) {

    /**
     * How many digits are kept.
     */
    private static final int DIGITS = 32;

    /**
     * Takes the fingerprint of a model call.
     *
     * @param model  the model
     * @param prompt the prompt
     * @return the fingerprint
     */
    public static Fingerprint of(String model, String prompt) {
        return new Fingerprint(KeyHash.ofKey(model + '\n' + prompt).hex().substring(0, DIGITS));
    }
}
