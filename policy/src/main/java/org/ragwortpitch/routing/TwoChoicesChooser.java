package org.ragwortpitch.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint with fewer requests in flight of two drawn at random ("The Power of Two Choices", Mitzenmacher,
 * 2001); a baseline for comparison.
 *
 * @param random the source of randomness
 */
public record TwoChoicesChooser(RandomGenerator random) implements EndpointChooser {

    @Override
    public Optional<EndpointCandidate> choose(RequestCost demand, List<EndpointCandidate> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        EndpointCandidate first = candidates.get(random.nextInt(candidates.size()));
        EndpointCandidate second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(first.requests() <= second.requests() ? first : second);
    }
}
