package org.ragwortpitch.operation;

/**
 * The outcome of an operation, kept so that a repeated call gets the same answer.
 *
 * @param kind        what became of it
 * @param status      the service's HTTP status; 0 without an answer
 * @param contentType the media type of the body; empty without an answer
 * @param body        the body as base64; empty without an answer
 */
public record OperationOutcome(OperationOutcomeKind kind, int status, String contentType, String body) {

    /**
     * The outcome of an operation that was never sent.
     */
    public static final OperationOutcome NOT_RUN = new OperationOutcome(OperationOutcomeKind.NOT_RUN, 0, "", "");

    /**
     * The outcome of an operation that was sent and not answered.
     */
    public static final OperationOutcome UNKNOWN = new OperationOutcome(OperationOutcomeKind.UNKNOWN, 0, "", "");
}
