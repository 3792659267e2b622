package org.ragwortpitch.wire;

/**
 * A call of another daemon that brought no answer. The call may have taken effect.
 */
public final class PeerException extends Exception {

    /**
     * Makes the exception.
     *
     * @param message what happened
     */
    public PeerException(String message) {
        super(message, null, false, false);
    }
}
