package org.ragwortpitch.answer;

/**
 * The kinds of errors that callers and operators are told, with their HTTP status.
 */
public enum ErrorKind {
    /**
     * The request is malformed.
     */
    BAD_REQUEST(400),
    /**
     * The key is missing, unknown or withdrawn.
     */
    BAD_KEY(401),
    /**
     * The key's client account may not do this.
     */
    FORBIDDEN(403),
    /**
     * No route, model or service has that name.
     */
    NOT_FOUND(404),
    /**
     * Another change or call came first.
     */
    CONFLICT(409),
    /**
     * The body is too large.
     */
    TOO_LARGE(413),
    /**
     * The request crashes endpoints and is not run again.
     */
    CRASHES_ENDPOINTS(422),
    /**
     * The client account is over its rate.
     */
    OVER_RATE(429),
    /**
     * The endpoint failed or answered badly.
     */
    ENDPOINT_FAILED(502),
    /**
     * The fleet or a part of the platform cannot serve now.
     */
    UNAVAILABLE(503),
    /**
     * The deadline passed.
     */
    TIMED_OUT(504);

    /**
     * The HTTP status.
     */
    private final int status;

    /**
     * Makes a kind.
     *
     * @param status the HTTP status
     */
    ErrorKind(int status) {
        this.status = status;
    }

    /**
     * Tells the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }
}
