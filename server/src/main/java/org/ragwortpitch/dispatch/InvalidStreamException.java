package org.ragwortpitch.dispatch;

/**
 * Thrown when an endpoint's event stream is invalid, so that no more of it reaches the caller. Carries no stack trace.
 */
public final class InvalidStreamException extends Exception {

    private final StreamFault fault;

    /**
     * Creates an exception for a fault.
     */
    public InvalidStreamException(StreamFault fault) {
        super("invalid event stream from the endpoint: " + fault, null, false, false);
        this.fault = fault;
    }

    /**
     * Returns the fault that was found.
     */
    public StreamFault fault() {
        return fault;
    }
}
