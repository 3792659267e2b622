package org.ragwortpitch.wire;

/**
 * Signals that a call to another daemon failed without a response. The call may have taken effect.
 */
public final class PeerException extends Exception {

    /**
     * Creates the exception, without a stack trace.
     *
     * @param message the cause, with the address of the other daemon
     */
    public PeerException(String message) {
        super(message, null, false, false);
    }
}
