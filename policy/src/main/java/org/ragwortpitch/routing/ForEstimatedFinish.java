package org.ragwortpitch.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.identity.FailureDomain;

/**
 * Chooses the endpoint that is expected to finish first: the prompt tokens that wait there, those of the request that
 * are not cached, and the steps of its output, each as slow as the batch makes it.
 *
 * @param here             the daemon's failure domain
 * @param crossingMicros   what reaching another failure domain costs, in microseconds
 * @param reportHalfMillis after what time a load report counts half, in milliseconds
 */
public record ForEstimatedFinish(FailureDomain here, long crossingMicros, long reportHalfMillis)
        implements EndpointChooser {

    /**
     * By how much an endpoint whose role does not fit is avoided.
     */
    private static final double MISFIT_FACTOR = 1.5;

    @Override
    public Optional<EndpointState> choose(Demand demand, List<EndpointState> candidates) {
        return candidates.stream()
                .min(Comparator.<EndpointState>comparingDouble(state -> finishMicros(demand, state))
                        .thenComparing(EndpointState::id));
    }

    /**
     * Estimates when a request would be finished.
     *
     * @param demand what it asks
     * @param state  the endpoint
     * @return the time from now, in microseconds
     */
    public double finishMicros(Demand demand, EndpointState state) {
        double trust = Math.pow(0.5, (double) state.reportAgeMillis() / reportHalfMillis);
        double others = state.otherRequests() * trust;
        double waitingTokens = state.ownPrefillTokens() + state.otherPrefillTokens() * trust;
        double ownTokens = Math.max(0, demand.promptTokens() - state.cachedTokens());
        Speed speed = state.speed();
        double prefill = (waitingTokens + ownTokens) * speed.prefillMicrosPerToken();
        double step = speed.stepMicros() + speed.stepMicrosPerRequest() * (state.ownRequests() + others);
        double crossing = state.failureDomain().equals(here) ? 0 : crossingMicros;
        double estimate = prefill + step * Math.max(1, demand.outputTokens()) + crossing;
        return fits(demand, state.role()) ? estimate : estimate * MISFIT_FACTOR;
    }

    /**
     * Tells whether a role fits a request.
     *
     * @param demand what the request asks
     * @param role   the role
     * @return whether it does
     */
    private static boolean fits(Demand demand, EndpointRole role) {
        boolean longPrompt = demand.promptTokens() > 4 * demand.outputTokens();
        return role == EndpointRole.MIXED || longPrompt == (role == EndpointRole.PREFILL);
    }
}
