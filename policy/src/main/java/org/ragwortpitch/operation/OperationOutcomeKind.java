package org.ragwortpitch.operation;

/**
 * How an operation ended.
 */
public enum OperationOutcomeKind {
    /**
     * The service responded and the response is retained.
     */
    ANSWERED,
    /**
     * No byte was sent to a service, so the operation may be started again.
     */
    NOT_RUN,
    /**
     * The operation was sent but no complete response was received.
     */
    UNKNOWN
}
