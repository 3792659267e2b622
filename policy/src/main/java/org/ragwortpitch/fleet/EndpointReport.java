package org.ragwortpitch.fleet;

import org.ragwortpitch.identity.EndpointId;

/**
 * State that an endpoint has reported of itself.
 *
 * @param endpoint the endpoint
 * @param role     its role in lower case, or {@link #CHANGING}
 * @param busy     whether it has requests in flight
 */
public record EndpointReport(EndpointId endpoint, String role, boolean busy) {

    /**
     * The role that an endpoint reports while it changes its role.
     */
    public static final String CHANGING = "changing";
}
