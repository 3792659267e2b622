package org.ragwortpitch.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that all daemons share. Derives the keys of connections and computes the authentication codes of frames,
 * both with HMAC-SHA-256.
 */
public final class SharedSecret {

    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] secret;

    /**
     * Creates a secret.
     *
     * @param text the secret, which is used in UTF-8
     */
    public SharedSecret(String text) {
        this.secret = Objects.requireNonNull(text).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Derives the key of one direction of a connection. The directions have different keys, so that a frame cannot be
     * reflected to its sender.
     *
     * @param clientNonce the nonce of the side that opened the connection
     * @param serverNonce the nonce of the other side
     * @param fromClient  whether the key is for frames from the side that opened the connection
     */
    byte[] connectionKey(byte[] clientNonce, byte[] serverNonce, boolean fromClient) {
        Mac mac = mac(secret);
        mac.update(clientNonce);
        mac.update(serverNonce);
        mac.update((byte) (fromClient ? 1 : 2));
        return mac.doFinal();
    }

    /**
     * Computes the authentication code of a frame and its sequence number.
     *
     * @param key            the direction's key
     * @param sequenceNumber counts the frames of the direction from 0
     * @param frame          the serialized frame
     */
    static byte[] frameCode(byte[] key, long sequenceNumber, byte[] frame) {
        Mac mac = mac(key);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequenceNumber).flip());
        mac.update(frame);
        return mac.doFinal();
    }

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
