package org.ragwortpitch.order;

import org.ragwortpitch.identity.EndpointId;

/**
 * Requests that the platform stop an endpoint. A stop is never reverted, so repeating the request is harmless.
 *
 * @param endpoint the endpoint to stop
 */
public record StopOrder(EndpointId endpoint) implements Order {

    @Override
    public String target() {
        return endpoint.value();
    }

    @Override
    public boolean checksFencing() {
        return false;
    }
}
