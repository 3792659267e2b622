package org.ragwortpitch.gateway;

import java.lang.System.Logger;
import java.util.Locale;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.scaladsl.model.EntityStreamException;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.ragwortpitch.http.HttpResponses;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Converts failures into error responses.
 */
public final class ErrorAnswers {

    private static final Logger LOGGER = System.getLogger(ErrorAnswers.class.getName());

    private ErrorAnswers() {}

    /**
     * Returns the refusal that describes a failure to the caller. Logs failures that no refusal is defined for.
     *
     * @param failure the failure, possibly wrapped in {@link CompletionException}s
     * @return the refusal
     */
    public static RefusedException refusalOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof RefusedException refused) {
            return refused;
        }
        if (cause instanceof EntityStreamSizeException) {
            return RefusedException.notRun(ErrorKind.TOO_LARGE, "the request body is too large: shorten it");
        }
        if (cause instanceof EntityStreamException) {
            return RefusedException.notRun(
                    ErrorKind.BAD_REQUEST, "the request body is malformed or incomplete: send it in full");
        }
        if (cause instanceof TimeoutException) {
            return new RefusedException(
                    ErrorKind.TIMED_OUT,
                    ExecutionState.UNKNOWN,
                    1_000,
                    "the request's deadline expired: try again later");
        }
        Event.of("unexpected-failure").with("reason", cause).warn(LOGGER);
        return new RefusedException(
                ErrorKind.UNAVAILABLE, ExecutionState.UNKNOWN, 1_000, "internal error: try again later");
    }

    /**
     * Returns the body of an error response.
     *
     * @param refused   the refusal
     * @param requestId the request's id
     * @return the body
     */
    public static ErrorBody body(RefusedException refused, String requestId) {
        return new ErrorBody(new ErrorDetail(
                refused.kind().name().toLowerCase(Locale.ROOT),
                refused.getMessage(),
                refused.ran().name().toLowerCase(Locale.ROOT),
                requestId,
                refused.retryAfterMillis()));
    }

    /**
     * Returns an error response, with {@code Retry-After} in seconds, rounded up, if a retry delay is known.
     *
     * @param refused   the refusal
     * @param requestId the request's id
     * @return the response
     */
    public static HttpResponse answer(RefusedException refused, String requestId) {
        HttpResponse response = HttpResponses.json(refused.kind().status(), body(refused, requestId))
                .addHeader(RawHeader.create("X-Request-Id", requestId));
        if (refused.retryAfterMillis() <= 0) {
            return response;
        }
        long seconds = (refused.retryAfterMillis() + 999) / 1000;
        return response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
    }
}
