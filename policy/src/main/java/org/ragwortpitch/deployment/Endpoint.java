package org.ragwortpitch.deployment;

import java.util.OptionalLong;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;

/**
 * An endpoint as the platform lists it.
 *
 * @param id            its id, of one life mostly
 * @param pool          the pool that it serves
 * @param address       host and port; given to others after its end
 * @param domain        its failure domain
 * @param slots         the requests that it runs at once
 * @param leaving       whether it takes no new requests
 * @param role          whether it reads prompts or makes tokens; {@link EndpointRole#MIXED} for plain services
 * @param bornMillis    when this life began, in milliseconds since 1970; 0 if not told
 * @param reclaimable   whether the platform may take it away on short notice
 * @param leavesInMillis how long until it is taken away, where it is told
 */
public record Endpoint(
        EndpointId id,
        PoolId pool,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        EndpointRole role,
        long bornMillis,
        boolean reclaimable,
        OptionalLong leavesInMillis) {

    /**
     * Tells whether requests go to both alike.
     */
    public boolean isUsedLike(Endpoint other) {
        return isSameLife(other) && leaving == other.leaving && role == other.role && pool.equals(other.pool);
    }

    /**
     * Tells whether both are the same life of the same endpoint.
     */
    public boolean isSameLife(Endpoint other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && address.equals(other.address);
    }
}
