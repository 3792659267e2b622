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
public record ForTwoChoices(RandomGenerator random) implements EndpointChooser {

    @Override
    public Optional<EndpointState> choose(Demand demand, List<EndpointState> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        EndpointState first = candidates.get(random.nextInt(candidates.size()));
        EndpointState second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(first.requests() <= second.requests() ? first : second);
    }
}
