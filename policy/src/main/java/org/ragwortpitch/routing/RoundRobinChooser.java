package org.ragwortpitch.routing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Chooses the endpoints in turn (round robin); a baseline for comparison.
 */
public final class RoundRobinChooser implements EndpointChooser {

    private final AtomicLong choices = new AtomicLong();

    @Override
    public Optional<EndpointCandidate> choose(RequestCost demand, List<EndpointCandidate> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get((int) (choices.getAndIncrement() % candidates.size())));
    }
}
