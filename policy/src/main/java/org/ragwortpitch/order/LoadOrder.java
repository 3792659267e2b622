package org.ragwortpitch.order;

import org.ragwortpitch.identity.EndpointId;

/**
 * Tells an endpoint to load a model, an adapter or a version of them from the weight store.
 *
 * @param endpoint      the endpoint
 * @param artifact      the artifact's name in the weight store
 * @param checksFencing whether the endpoint refuses old fencing numbers
 */
public record LoadOrder(EndpointId endpoint, String artifact, boolean checksFencing) implements Order {

    @Override
    public String target() {
        return endpoint.value();
    }
}
