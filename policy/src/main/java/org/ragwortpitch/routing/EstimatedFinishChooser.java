package org.ragwortpitch.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Chooses the endpoint with the earliest estimated finish. The estimate sums up the prefill of the prompt tokens queued
 * there, the prefill of the request's uncached tokens, and its decode steps, whose duration grows with the batch.
 *
 * @param here             the daemon's failure domain
 * @param crossingMicros   the penalty for an endpoint in another failure domain, in microseconds
 * @param reportHalfMillis the half-life of the weight of a load report, in milliseconds
 */
public record EstimatedFinishChooser(FailureDomain here, long crossingMicros, long reportHalfMillis)
        implements EndpointChooser {

    /**
     * Factor on the estimate of an endpoint whose role does not match the request.
     */
    private static final double ROLE_MISMATCH_FACTOR = 1.5;

    @Override
    public Optional<EndpointCandidate> choose(RequestCost demand, List<EndpointCandidate> candidates) {
        return candidates.stream()
                .min(Comparator.<EndpointCandidate>comparingDouble(state -> finishMicros(demand, state))
                        .thenComparing(EndpointCandidate::id));
    }

    /**
     * Estimates the time until a request would be finished.
     *
     * @param demand the estimated cost of the request
     * @param state  the candidate
     * @return the time from now, in microseconds, with the penalties included
     */
    public double finishMicros(RequestCost demand, EndpointCandidate state) {
        double reportWeight = Math.pow(0.5, (double) state.reportAgeMillis() / reportHalfMillis);
        double otherRequests = state.otherRequests() * reportWeight;
        double queuedTokens = state.ownPrefillTokens() + state.otherPrefillTokens() * reportWeight;
        double uncachedTokens = Math.max(0, demand.promptTokens() - state.cachedTokens());
        EndpointSpeed speed = state.speed();
        double prefill = (queuedTokens + uncachedTokens) * speed.prefillMicrosPerToken();
        double step = speed.stepMicros() + speed.stepMicrosPerRequest() * (state.ownRequests() + otherRequests);
        double domainPenalty = state.failureDomain().equals(here) ? 0 : crossingMicros;
        double estimate = prefill + step * Math.max(1, demand.outputTokens()) + domainPenalty;
        return matchesRole(demand, state.role()) ? estimate : estimate * ROLE_MISMATCH_FACTOR;
    }

    /**
     * A prefill endpoint matches a request dominated by its prompt, a decode endpoint any other, a mixed one both.
     */
    private static boolean matchesRole(RequestCost demand, EndpointRole role) {
        boolean longPrompt = demand.promptTokens() > 4 * demand.outputTokens();
        return role == EndpointRole.MIXED || longPrompt == (role == EndpointRole.PREFILL);
    }
}
