package org.ragwortpitch.order;

import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;

/**
 * Orders an endpoint to switch to a role.
 *
 * @param endpoint      the endpoint to switch
 * @param role          the new role
 * @param checksFencing whether the endpoint rejects orders with an outdated fencing token
 */
public record RoleOrder(EndpointId endpoint, EndpointRole role, boolean checksFencing) implements Order {

    @Override
    public String target() {
        return endpoint.value();
    }
}
