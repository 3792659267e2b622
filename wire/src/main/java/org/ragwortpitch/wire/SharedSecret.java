package org.ragwortpitch.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that daemons share, and the keys of connections made of it.
 */
public final class SharedSecret {

    /**
     * The code that authenticates frames.
     */
    private static final String ALGORITHM = "HmacSHA256";

    /**
     * The secret.
     */
    private final byte[] secret;

    /**
     * Makes a secret.
     *
     * @param text the secret's text
     */
    public SharedSecret(String text) {
        this.secret = Objects.requireNonNull(text).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Makes the key of one direction of a connection.
     *
     * @param clientNonce what the side that connected has drawn
     * @param serverNonce what the other side has drawn
     * @param fromClient  whether the key is for what the side that connected sends
     * @return the key
     */
    byte[] connectionKey(byte[] clientNonce, byte[] serverNonce, boolean fromClient) {
        Mac mac = mac(secret);
        mac.update(clientNonce);
        mac.update(serverNonce);
        mac.update((byte) (fromClient ? 1 : 2));
        return mac.doFinal();
    }

    /**
     * Authenticates a frame at its place in the connection.
     *
     * @param key     the direction's key
     * @param counter the frame's place, from 0
     * @param frame   the frame
     * @return the code
     */
    static byte[] code(byte[] key, long counter, byte[] frame) {
        Mac mac = mac(key);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(counter).flip());
        mac.update(frame);
        return mac.doFinal();
    }

    /**
     * Makes a code with a key.
     *
     * @param key the key
     * @return the code
     */
    private static Mac mac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (NoSuchAlgorithmException | InvalidKeyException exception) {
            throw new IllegalStateException("HMAC-SHA-256 is part of every Java platform", exception);
        }
    }
}
