package org.ragwortpitch.deployment;

import org.ragwortpitch.identity.EndpointId;

/**
 * An endpoint from one start to the next.
 *
 * @param endpoint    the endpoint, which may keep its id when it starts again
 * @param startMillis when it started, in milliseconds since 1970; 0 if unknown
 */
public record EndpointIncarnation(EndpointId endpoint, long startMillis) {}
