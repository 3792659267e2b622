package org.ragwortpitch.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An error as callers see it.
 *
 * @param kind             the kind of error, in lower case
 * @param message          what is wrong, and the remedy
 * @param ran              whether the request ran: no, yes or unknown
 * @param requestId        the request's id
 * @param retryAfterMillis when to try again, in milliseconds from now; 0 if that is not known
 */
public record ErrorDetail(
        String kind,
        String message,
        String ran,
        @JsonProperty("request_id") String requestId,
        @JsonProperty("retry_after_millis") long retryAfterMillis) {}
