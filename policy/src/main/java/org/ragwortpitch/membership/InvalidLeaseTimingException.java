package org.ragwortpitch.membership;

/**
 * Thrown when the times of the membership lease are inconsistent.
 */
public final class InvalidLeaseTimingException extends Exception {

    /**
     * Creates the exception.
     *
     * @param message what is inconsistent, and the remedy
     */
    public InvalidLeaseTimingException(String message) {
        super(message);
    }
}
