package org.ragwortpitch.routing;

import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;

/**
 * A candidate endpoint for one request, with the load and cache state known to this daemon.
 *
 * @param id                 the endpoint
 * @param failureDomain      the failure domain it runs in
 * @param role               its role
 * @param ownRequests        the requests in flight from this daemon
 * @param ownPrefillTokens   the prompt tokens from this daemon that are not prefilled yet
 * @param otherRequests      the requests in flight from other daemons, as last reported
 * @param otherPrefillTokens the prompt tokens from other daemons that are not prefilled yet, as last reported
 * @param reportAgeMillis    the age of that report, in milliseconds
 * @param cachedTokens       the estimated tokens of the request's prompt that are in its prefix cache
 * @param speed              its estimated speed
 */
public record EndpointCandidate(
        EndpointId id,
        FailureDomain failureDomain,
        EndpointRole role,
        int ownRequests,
        long ownPrefillTokens,
        int otherRequests,
        long otherPrefillTokens,
        long reportAgeMillis,
        long cachedTokens,
        EndpointSpeed speed) {

    /**
     * Returns the requests in flight from all daemons.
     */
    public int requests() {
        return ownRequests + otherRequests;
    }
}
