package org.ragwortpitch.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The body of an error response.
 *
 * @param error the error
 */
public record ErrorBody(@JsonProperty("error") ErrorDetail error) {}
