package org.ragwortpitch.answer;

/**
 * A request that gets no ordinary answer.
 */
public final class RefusedException extends Exception {

    /**
     * The kind of error.
     */
    private final ErrorKind kind;

    /**
     * Whether the request ran.
     */
    private final Ran ran;

    /**
     * When to try again, in milliseconds from now; 0 if that is not known.
     */
    private final long retryAfterMillis;

    /**
     * Makes a refusal.
     *
     * @param kind             the kind of error
     * @param ran              whether the request ran
     * @param retryAfterMillis when to try again, in milliseconds from now; 0 if that is not known
     * @param message          what is wrong, and the remedy
     */
    public RefusedException(ErrorKind kind, Ran ran, long retryAfterMillis, String message) {
        super(message, null, false, false);
        this.kind = kind;
        this.ran = ran;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Makes a refusal of a request that did not run.
     *
     * @param kind    the kind of error
     * @param message what is wrong, and the remedy
     * @return the refusal
     */
    public static RefusedException notRun(ErrorKind kind, String message) {
        return new RefusedException(kind, Ran.NO, 0, message);
    }

    /**
     * Makes a refusal of a request that did not run and may be tried later.
     *
     * @param kind             the kind of error
     * @param retryAfterMillis when to try again, in milliseconds from now
     * @param message          what is wrong, and the remedy
     * @return the refusal
     */
    public static RefusedException notRunRetryAfter(ErrorKind kind, long retryAfterMillis, String message) {
        return new RefusedException(kind, Ran.NO, retryAfterMillis, message);
    }

    /**
     * Tells the kind of error.
     *
     * @return the kind
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Tells whether the request ran.
     *
     * @return whether it ran
     */
    public Ran ran() {
        return ran;
    }

    /**
     * Tells when to try again.
     *
     * @return the time from now, in milliseconds; 0 if that is not known
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
