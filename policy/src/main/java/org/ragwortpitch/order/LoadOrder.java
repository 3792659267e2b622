package org.ragwortpitch.order;

import org.ragwortpitch.identity.EndpointId;

/**
 * Orders an endpoint to load a model, an adapter or a version of either from the weight store.
 *
 * @param endpoint      the endpoint to load it
 * @param artifact      the artifact's name in the weight store
 * @param checksFencing whether the endpoint rejects orders with an outdated fencing token
 */
public record LoadOrder(EndpointId endpoint, String artifact, boolean checksFencing) implements Order {

    @Override
    public String target() {
        return endpoint.value();
    }
}
