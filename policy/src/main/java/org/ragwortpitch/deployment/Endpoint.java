package org.ragwortpitch.deployment;

import java.util.OptionalLong;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;

/**
 * An endpoint as the platform lists it.
 *
 * @param id                the endpoint's id, usually new in each incarnation
 * @param pool              the pool that it serves
 * @param address           host and port; reassigned to other endpoints after this one is gone
 * @param domain            the failure domain
 * @param slots             the maximum number of requests that run concurrently
 * @param leaving           whether it is draining and takes no new requests
 * @param role              whether it prefills, decodes or does both; {@link EndpointRole#MIXED} for plain services
 * @param startMillis       when this incarnation started, in milliseconds since 1970; 0 if unknown
 * @param reclaimable       whether the platform may reclaim it on short notice
 * @param reclaimedInMillis the time until it is reclaimed, in milliseconds; empty if unknown
 * @param version           the version of its software, which may change with its incarnation
 * @param coldMillis        how much longer it was cold when it wrote its entry, in milliseconds; 0 if it was not,
 *                          negative if the entry states something that is no time
 */
public record Endpoint(
        EndpointId id,
        PoolId pool,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        EndpointRole role,
        long startMillis,
        boolean reclaimable,
        OptionalLong reclaimedInMillis,
        SoftwareVersion version,
        long coldMillis) {

    /** Stands for a stated time that can't be read. */
    public static final long COLD_TIME_UNREADABLE = -1;

    /**
     * Refuses an endpoint that can't be named, connected to or given a request.
     *
     * @throws IllegalArgumentException if the id is empty, the address is not an IP address and port, or there is no
     *                                  slot
     */
    public Endpoint {
        if (id.value().isEmpty()) {
            throw new IllegalArgumentException("the id is empty; expected the endpoint's name");
        }
        HostAndPort.require(address);
        if (slots < 1) {
            throw new IllegalArgumentException("slots are " + slots + "; expected 1 or more");
        }
    }

    /**
     * Creates an endpoint that is not cold.
     */
    public Endpoint(
            EndpointId id,
            PoolId pool,
            String address,
            FailureDomain domain,
            int slots,
            boolean leaving,
            EndpointRole role,
            long startMillis,
            boolean reclaimable,
            OptionalLong reclaimedInMillis,
            SoftwareVersion version) {
        this(id, pool, address, domain, slots, leaving, role, startMillis, reclaimable, reclaimedInMillis, version, 0);
    }

    /**
     * Returns whether this endpoint and another are the same incarnation with the same draining state, role and
     * pool, so that requests are routed to both alike.
     */
    public boolean isRoutedLike(Endpoint other) {
        return isSameIncarnation(other) && leaving == other.leaving && role == other.role && pool.equals(other.pool);
    }

    /**
     * Returns this endpoint as one that leaves.
     */
    public Endpoint asLeaving() {
        return new Endpoint(
                id,
                pool,
                address,
                domain,
                slots,
                true,
                role,
                startMillis,
                reclaimable,
                reclaimedInMillis,
                version,
                coldMillis);
    }

    /**
     * Returns the present incarnation.
     */
    public EndpointIncarnation incarnation() {
        return new EndpointIncarnation(id, startMillis);
    }

    /**
     * Returns whether this endpoint and another are the same incarnation of the same endpoint.
     */
    public boolean isSameIncarnation(Endpoint other) {
        return id.equals(other.id)
                && startMillis == other.startMillis
                && address.equals(other.address)
                && version.equals(other.version);
    }
}
