package org.ragwortpitch.edge.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Generation;
import org.ragwortpitch.homes.Homes;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.overflow.RequestDomains;
import org.ragwortpitch.placement.EngineChooser;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.Placement;

/**
 * Selects engines of a pool for one generation among those that it has not tried: usable ones, or else any available
 * one. Confined to the traffic thread.
 *
 * @param targetMillis the target for the time to the first event, in milliseconds
 * @param homes        the regions that may serve the generation
 * @param domains      the failure domains in those regions
 * @param preferred    the failure domains that the generation prefers among those
 */
record EngineSelector(
        EndpointTable endpoints,
        EngineChooser chooser,
        PoolId pool,
        Generation generation,
        int targetMillis,
        Homes homes,
        Predicate<FailureDomain> domains,
        RequestDomains preferred) {

    /**
     * Returns the engines with the lowest cost; empty if none can decode.
     *
     * @param version the software version at which the stream has to go on; empty if it may begin at any
     * @param tried   engines that the generation was sent to
     */
    Optional<Placement> place(Optional<SoftwareVersion> version, Set<EndpointId> tried, long nowMillis) {
        return choose(version, endpoints.usable(pool, scope(tried), nowMillis))
                .or(() -> choose(version, endpoints.available(pool, scope(tried), nowMillis)));
    }

    /**
     * Returns the engines with the lowest cost among those that have room; empty if none of them can decode. Available
     * engines that are not usable are considered only if no usable one can decode, whether or not it has room.
     *
     * @param version the software version at which the stream has to go on; empty if it may begin at any
     * @param tried   engines that the generation was sent to
     */
    Optional<Placement> placeWithRoom(
            Optional<SoftwareVersion> version, Set<EndpointId> tried, long nowMillis, Predicate<EngineState> hasRoom) {
        List<EndpointState> usable = endpoints.usable(pool, scope(tried), nowMillis);
        boolean decodable = usable.stream().anyMatch(state -> isDecoder(state) && hasVersion(state, version));
        List<EndpointState> candidates = decodable ? usable : endpoints.available(pool, scope(tried), nowMillis);
        return choose(
                version,
                candidates.stream()
                        .filter(state -> hasRoom.test(state.engine()))
                        .toList());
    }

    private Optional<Placement> choose(Optional<SoftwareVersion> version, List<EndpointState> candidates) {
        return chooser.choose(
                generation,
                candidates.stream()
                        .filter(state -> !isDecoder(state) || hasVersion(state, version))
                        .map(EndpointState::engine)
                        .toList(),
                targetMillis,
                preferred);
    }

    /**
     * Returns what else the pool has, for the reason of a refusal.
     */
    String describeOthers(Set<EndpointId> tried) {
        return "other engines: " + endpoints.notLeaving(pool, scope(tried)).size() + endpoints.evacuationNote(pool)
                + homes.describe();
    }

    /**
     * Returns whether the pool has a decode engine of a version that stays, whatever its health and load.
     */
    boolean hasDecoder(SoftwareVersion version) {
        return endpoints.notLeaving(pool, scope(Set.of())).stream()
                .anyMatch(state -> isDecoder(state) && hasVersion(state, Optional.of(version)));
    }

    /**
     * Returns the decode engine with the fewest requests.
     *
     * @param version the software version at which the stream has to go on; empty if it may begin at any
     * @param tried   engines that the generation was sent to
     */
    Optional<EndpointState> leastLoadedDecoder(
            Optional<SoftwareVersion> version, Set<EndpointId> tried, long nowMillis) {
        return leastLoadedDecoder(version, endpoints.usable(pool, scope(tried), nowMillis))
                .or(() -> leastLoadedDecoder(version, endpoints.available(pool, scope(tried), nowMillis)));
    }

    private EndpointScope scope(Set<EndpointId> tried) {
        return new EndpointScope(tried, domains);
    }

    private static boolean isDecoder(EndpointState state) {
        return state.endpoint().role() == EndpointRole.DECODE;
    }

    private static boolean hasVersion(EndpointState state, Optional<SoftwareVersion> version) {
        return version.isEmpty() || version.get().equals(state.endpoint().version());
    }

    private static Optional<EndpointState> leastLoadedDecoder(
            Optional<SoftwareVersion> version, List<EndpointState> candidates) {
        return candidates.stream()
                .filter(state -> isDecoder(state) && hasVersion(state, version))
                .min(Comparator.comparingInt(state -> state.engine().totalRunning()));
    }
}
