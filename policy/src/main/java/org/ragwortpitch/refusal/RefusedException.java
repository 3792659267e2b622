package org.ragwortpitch.refusal;

/**
 * Thrown if a request gets no regular response: it was refused or failed. Has no stack trace.
 */
public final class RefusedException extends Exception {

    private final ErrorKind kind;

    private final ExecutionState ran;

    /**
     * In milliseconds from now; 0 if unknown.
     */
    private final long retryAfterMillis;

    /**
     * Creates an exception.
     *
     * @param kind             the kind of error
     * @param ran              whether the request ran on an endpoint
     * @param retryAfterMillis when to retry, in milliseconds from now; 0 if unknown
     * @param message          what is wrong and how to fix it
     */
    public RefusedException(ErrorKind kind, ExecutionState ran, long retryAfterMillis, String message) {
        super(message, null, false, false);
        this.kind = kind;
        this.ran = ran;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns the refusal of a request that did not run, without a time to retry.
     *
     * @param message what is wrong and how to fix it
     */
    public static RefusedException notRun(ErrorKind kind, String message) {
        return new RefusedException(kind, ExecutionState.NO, 0, message);
    }

    /**
     * Returns the refusal of a request that did not run and may be retried later.
     *
     * @param retryAfterMillis when to retry, in milliseconds from now
     * @param message          what is wrong and how to fix it
     */
    public static RefusedException notRunRetryAfter(ErrorKind kind, long retryAfterMillis, String message) {
        return new RefusedException(kind, ExecutionState.NO, retryAfterMillis, message);
    }

    /**
     * Returns the kind of error.
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Returns whether the request ran on an endpoint.
     */
    public ExecutionState ran() {
        return ran;
    }

    /**
     * Returns when to retry, in milliseconds from now; 0 if unknown.
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
