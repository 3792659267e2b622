package org.ragwortpitch.poison;

import org.ragwortpitch.identity.KeyHash;

/**
 * Identifies requests by their content, independent of the sender and of the request id.
 *
 * @param value the first hexadecimal digits of the content's hash
 */
public record Fingerprint(String value) {

    private static final int LENGTH_HEX_DIGITS = 32;

    /**
     * Computes the fingerprint of a request to a model.
     */
    public static Fingerprint of(String model, String prompt) {
        return new Fingerprint(KeyHash.ofKey(model + '\n' + prompt).hex().substring(0, LENGTH_HEX_DIGITS));
    }
}
