package org.ragwortpitch.order;

import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;

/**
 * Tells an endpoint to take a role.
 *
 * @param endpoint      the endpoint
 * @param role          the role
 * @param checksFencing whether the endpoint refuses old fencing numbers
 */
public record RoleOrder(EndpointId endpoint, EndpointRole role, boolean checksFencing) implements Order {

    @Override
    public String target() {
        return endpoint.value();
    }
}
