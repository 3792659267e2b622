package org.ragwortpitch.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an endpoint uniformly at random; a baseline for comparison.
 *
 * @param random the source of randomness
 */
public record RandomChooser(RandomGenerator random) implements EndpointChooser {

    @Override
    public Optional<EndpointCandidate> choose(RequestCost demand, List<EndpointCandidate> candidates) {
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }
}
