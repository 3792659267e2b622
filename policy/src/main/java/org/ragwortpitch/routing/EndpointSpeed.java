package org.ragwortpitch.routing;

/**
 * Speed of an endpoint.
 *
 * @param prefillMicrosPerToken the prefill time of a prompt token, in microseconds
 * @param stepMicros            the duration of a decode step with a single request, in microseconds
 * @param stepMicrosPerRequest  the time that each further request adds to a decode step, in microseconds
 */
public record EndpointSpeed(long prefillMicrosPerToken, long stepMicros, long stepMicrosPerRequest) {

    /**
     * Speed assumed for an endpoint without measurements.
     */
    public static final EndpointSpeed ASSUMED = new EndpointSpeed(50, 10_000, 200);
}
