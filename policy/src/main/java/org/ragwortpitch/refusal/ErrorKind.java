package org.ragwortpitch.refusal;

/**
 * The kinds of errors reported to callers and operators, with their HTTP status codes.
 */
public enum ErrorKind {
    /**
     * The request is malformed.
     */
    BAD_REQUEST(400),
    /**
     * The API key is missing, unknown or revoked.
     */
    BAD_KEY(401),
    /**
     * The client account of the API key lacks permission.
     */
    FORBIDDEN(403),
    /**
     * No route, model or service has the requested name.
     */
    NOT_FOUND(404),
    /**
     * The request conflicts with an earlier change or call.
     */
    CONFLICT(409),
    /**
     * The body exceeds the size limit.
     */
    TOO_LARGE(413),
    /**
     * The request was seen to crash endpoints and is not run again.
     */
    CRASHES_ENDPOINTS(422),
    /**
     * The client account exceeded its rate limit.
     */
    OVER_RATE(429),
    /**
     * The endpoint failed or sent an invalid response.
     */
    ENDPOINT_FAILED(502),
    /**
     * The fleet, or a dependency of the daemon, cannot serve requests at present.
     */
    UNAVAILABLE(503),
    /**
     * The deadline expired.
     */
    TIMED_OUT(504);

    private final int status;

    ErrorKind(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status code.
     */
    public int status() {
        return status;
    }
}
