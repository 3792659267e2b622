package org.ragwortpitch.identity;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 of a client key. Keys have 256 random bits, so a plain hash cannot be searched backwards.
 *
 * @param hex the hash, 64 lower-case hexadecimal digits
 */
public record KeyHash(String hex) {

    /**
     * Hashes a key as a caller sent it.
     *
     * @param key the key in clear
     * @return its hash
     */
    public static KeyHash ofKey(String key) {
        byte[] digest = sha256().digest(key.getBytes(StandardCharsets.UTF_8));
        return new KeyHash(HexFormat.of().formatHex(digest));
    }

    /**
     * Supplies the digest that every Java platform carries.
     *
     * @return a fresh SHA-256 digest
     */
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
