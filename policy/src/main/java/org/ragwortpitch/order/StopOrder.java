package org.ragwortpitch.order;

import org.ragwortpitch.identity.EndpointId;

/**
 * Asks the platform to stop an endpoint. It is never undone, so that repeating it is harmless.
 *
 * @param endpoint the endpoint
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
