package org.ragwortpitch.routing;

import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;

/**
 * An endpoint as a daemon sees it when it chooses.
 *
 * @param id                 the endpoint
 * @param failureDomain      where it runs
 * @param role               its role
 * @param ownRequests        the requests that this daemon has under way there
 * @param ownPrefillTokens   the prompt tokens that this daemon has sent there and that are not read yet
 * @param otherRequests      the requests of other daemons under way there, as reported
 * @param otherPrefillTokens the prompt tokens of other daemons that wait there, as reported
 * @param reportAgeMillis    how old that report is, in milliseconds
 * @param cachedTokens       the tokens of the request's prompt that it is believed to have cached
 * @param speed              how fast it has worked
 */
public record EndpointState(
        EndpointId id,
        FailureDomain failureDomain,
        EndpointRole role,
        int ownRequests,
        long ownPrefillTokens,
        int otherRequests,
        long otherPrefillTokens,
        long reportAgeMillis,
        long cachedTokens,
        Speed speed) {

    /**
     * Tells how many requests are under way there.
     *
     * @return the count
     */
    public int requests() {
        return ownRequests + otherRequests;
    }
}
