package org.ragwortpitch.membership;

/**
 * Lease times that do not fit together.
 */
public final class InvalidLeaseTimingException extends Exception {

    /**
     * Makes the error.
     *
     * @param message what does not fit, and the remedy
     */
    public InvalidLeaseTimingException(String message) {
        super(message);
    }
}
