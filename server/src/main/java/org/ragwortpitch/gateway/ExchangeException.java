package org.ragwortpitch.gateway;

/**
 * Thrown when a plain service did not return a complete response.
 */
final class ExchangeException extends Exception {

    private final boolean possiblySent;

    /**
     * Creates an exception without a stack trace.
     *
     * @param possiblySent whether any byte of the request may have reached the service
     * @param message      the cause
     */
    ExchangeException(boolean possiblySent, String message) {
        super(message, null, false, false);
        this.possiblySent = possiblySent;
    }

    /**
     * Returns whether any byte of the request may have reached the service, so that it may have been executed.
     *
     * @return whether the service may have received the request
     */
    boolean isPossiblySent() {
        return possiblySent;
    }
}
