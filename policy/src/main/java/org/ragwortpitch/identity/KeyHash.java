package org.ragwortpitch.identity;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 hash of an API key. Keys have 256 random bits, so a plain hash cannot be reversed by search.
 *
 * @param hex the hash, as 64 lower-case hexadecimal digits
 */
public record KeyHash(String hex) {

    /**
     * Returns the hash of a key.
     *
     * @param key the key as the caller sent it, in clear text
     */
    public static KeyHash ofKey(String key) {
        byte[] digest = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
        return new KeyHash(HexFormat.of().formatHex(digest));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", exception);
        }
    }

    @Override
    public String toString() {
        return hex;
    }
}
