package org.ragwortpitch.operation;

/**
 * The outcome of an operation, retained so that a repeated call receives the same response.
 *
 * @param kind        how the operation ended
 * @param status      the HTTP status of the service's response; 0 without a response
 * @param contentType the media type of the body; empty without a response
 * @param body        the body, encoded as base64; empty without a response
 */
public record OperationOutcome(OperationOutcomeKind kind, int status, String contentType, String body) {

    /**
     * The outcome of an operation that was never sent.
     */
    public static final OperationOutcome NOT_RUN = new OperationOutcome(OperationOutcomeKind.NOT_RUN, 0, "", "");

    /**
     * The outcome of an operation that was sent but did not receive a complete response.
     */
    public static final OperationOutcome UNKNOWN = new OperationOutcome(OperationOutcomeKind.UNKNOWN, 0, "", "");
}
