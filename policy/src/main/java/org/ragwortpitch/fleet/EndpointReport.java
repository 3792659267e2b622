package org.ragwortpitch.fleet;

import org.ragwortpitch.identity.EndpointId;

/**
 * What an endpoint has told of itself.
 *
 * @param endpoint the endpoint
 * @param role     its role, or that it changes
 * @param busy     whether it has requests
 */
public record EndpointReport(EndpointId endpoint, String role, boolean busy) {

    /**
     * What an endpoint calls its role while it changes.
     */
    public static final String CHANGING = "changing";
}
