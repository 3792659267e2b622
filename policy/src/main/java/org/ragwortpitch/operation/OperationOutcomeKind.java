package org.ragwortpitch.operation;

/**
 * What became of an operation.
 */
public enum OperationOutcomeKind {
    /**
     * The service answered; the answer is kept.
     */
    ANSWERED,
    /**
     * No byte was sent to a service, so that the operation may be started again.
     */
    NOT_RUN,
    /**
     * It was sent and no whole answer came back.
     */
    UNKNOWN
}
