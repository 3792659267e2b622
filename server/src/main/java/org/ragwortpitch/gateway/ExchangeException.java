package org.ragwortpitch.gateway;

/**
 * An exchange with a plain service that brought no whole answer.
 */
final class ExchangeException extends Exception {

    /**
     * Whether any byte may have reached the service.
     */
    private final boolean sent;

    /**
     * Makes the exception.
     *
     * @param sent    whether any byte may have reached the service
     * @param message what happened
     */
    ExchangeException(boolean sent, String message) {
        super(message, null, false, false);
        this.sent = sent;
    }

    /**
     * Tells whether any byte may have reached the service.
     *
     * @return whether it may
     */
    boolean isSent() {
        return sent;
    }
}
