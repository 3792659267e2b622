package org.ragwortpitch.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The description of an error in a response.
 *
 * @param kind             the name of the {@link org.ragwortpitch.refusal.ErrorKind}, in lower case
 * @param message          the cause and the remedy
 * @param ran              whether the request was executed: {@code no}, {@code yes} or {@code unknown}
 * @param requestId        the request's id
 * @param retryAfterMillis the delay before a retry, in milliseconds; 0 if unknown
 */
public record ErrorDetail(
        String kind,
        String message,
        String ran,
        @JsonProperty("request_id") String requestId,
        @JsonProperty("retry_after_millis") long retryAfterMillis) {}
