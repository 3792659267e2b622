package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.edge.control.EndpointReading;
import org.ragwortpitch.evacuation.Evacuations;
import org.ragwortpitch.health.EndpointNotices;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.placement.EngineSpeeds;

/**
 * The endpoints in the current listing, with the state of each. Confined to the traffic thread.
 */
public final class EndpointTable {

    private static final Logger LOGGER = System.getLogger(EndpointTable.class.getName());

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Shortest Retry-After of a request whose pool has endpoints in evacuated domains only, in milliseconds. */
    private static final long EVACUATED_RETRY_MILLIS = 1_000;

    private final EndpointPacing pacing;
    private final Consumer<String> onAddressRemoved;
    private final PoolVersions versions;
    private final EndpointNotices notices = new EndpointNotices();
    private final EvacuatedDomains evacuated = new EvacuatedDomains();
    private final EngineSpeeds speeds = new EngineSpeeds();
    private Map<EndpointId, EndpointState> states = new HashMap<>();
    private Map<String, EndpointState> statesByAddress = Map.of();

    /**
     * Creates a table without endpoints.
     *
     * @param pacing           which endpoints may get a request, as far as they limit the rate or are cold
     * @param firstStart       whether the whole fleet starts for the first time
     * @param onAddressRemoved called with the address of each endpoint incarnation that is no longer listed
     */
    public EndpointTable(EndpointPacing pacing, boolean firstStart, Consumer<String> onAddressRemoved) {
        this.versions = new PoolVersions(firstStart);
        this.pacing = pacing;
        this.onAddressRemoved = onAddressRemoved;
    }

    /**
     * Applies a new listing; endpoints of the same incarnation keep their state.
     */
    public void apply(Collection<Endpoint> listed, Deployment deployment, long nowMillis) {
        notices.listed(listed.stream().map(Endpoint::incarnation).toList(), nowMillis);
        pacing.apply(listed, deployment, nowMillis);
        Map<EndpointId, EndpointState> next = new HashMap<>();
        // Endpoints in the first listing after a daemon's start are not new, so they are past their settling time.
        long listedMillis = states.isEmpty() ? nowMillis - EndpointState.SETTLING_MILLIS : nowMillis;
        for (Endpoint entry : listed) {
            Endpoint endpoint = notices.isLeaving(entry.incarnation()) ? entry.asLeaving() : entry;
            EndpointState known = states.get(endpoint.id());
            Optional<EngineSpec> spec = deployment.pool(endpoint.pool()).flatMap(Pool::engine);
            if (known != null && known.endpoint().isSameIncarnation(endpoint)) {
                EndpointEvents.logChange(known.endpoint(), endpoint);
                known.updateEndpoint(endpoint);
                known.configure(spec);
                next.put(endpoint.id(), known);
            } else {
                EndpointEvents.logListed(endpoint);
                next.put(endpoint.id(), new EndpointState(endpoint, spec, listedMillis));
            }
        }
        states.forEach((id, state) -> {
            EndpointState now = next.get(id);
            if (now == null || now != state) {
                EndpointEvents.logGone(state.endpoint());
                onAddressRemoved.accept(state.endpoint().address());
            }
        });
        states = next;
        statesByAddress = next.values().stream()
                .collect(Collectors.toMap(state -> state.endpoint().address(), state -> state, (one, other) -> other));
        evacuated.check(deployment, states.values());
        evacuated.drainCancelled().forEach(this::recordColdDomain);
        refreshSpeeds(nowMillis);
    }

    /**
     * Applies what was learned of the engines' speeds to the estimates. Called when the listing changes and a few times
     * a second.
     */
    public void refreshSpeeds(long nowMillis) {
        List<EndpointState> engines =
                states.values().stream().filter(state -> state.engine() != null).toList();
        speeds.refresh(engines.stream().map(EndpointState::engine).toList(), nowMillis);
        engines.forEach(state -> state.logSpeed(nowMillis));
    }

    /**
     * Returns what is known of the engines' speeds.
     */
    public EngineSpeeds speeds() {
        return speeds;
    }

    /**
     * Applies evacuations of failure domains that the store or another daemon has reported.
     *
     * @param source who reported them, for the log
     */
    public void apply(Evacuations reported, String source, long nowMillis) {
        if (evacuated.update(reported, source, nowMillis)) {
            evacuated.drainCancelled().forEach(this::recordColdDomain);
        }
    }

    /**
     * Returns the evacuations that are obeyed.
     */
    public Evacuations evacuations() {
        return evacuated.current();
    }

    /**
     * Returns the reason that a refusal adds if evacuated domains have endpoints of the pool; empty if none has.
     */
    String evacuationNote(PoolId pool) {
        return evacuated.describe(pool, states.values());
    }

    /**
     * Records which software versions and cold times a reading of the endpoints' list shows.
     */
    public void recordRead(EndpointReading reading, long nowMillis) {
        reading.coldMillis().forEach((endpoint, millis) -> pacing.recordCold(endpoint, millis, "entry", nowMillis));
        versions.read(reading, nowMillis);
    }

    /**
     * Returns what is known of the software versions of the pools' engines.
     */
    PoolVersions versions() {
        return versions;
    }

    /**
     * Returns the endpoints of a pool that can get requests: those that are healthy, not avoided and not settling, or
     * all available ones if there are none.
     *
     * @param scope the endpoints that the request may be sent to
     */
    List<EndpointState> usable(PoolId pool, EndpointScope scope, long nowMillis) {
        List<EndpointState> staying = available(pool, scope, nowMillis);
        if (!pacing.isOff()) {
            pacing.recordWanted(pool, notLeaving(pool, scope), staying, nowMillis);
        }
        List<EndpointState> healthy = staying.stream()
                .filter(state -> state.health().isUsable(nowMillis)
                        && !state.isAvoided(nowMillis)
                        && !state.isSettling(nowMillis))
                .toList();
        return healthy.isEmpty() ? staying : healthy;
    }

    /**
     * Returns the endpoints of a pool that are not leaving, not evacuated, not resting and not at their rate limit,
     * stated or cold, whatever their health.
     */
    List<EndpointState> available(PoolId pool, EndpointScope scope, long nowMillis) {
        return notLeaving(pool, scope).stream()
                .filter(state -> !isResting(state, nowMillis) && pacing.isOpen(state, nowMillis))
                .toList();
    }

    /**
     * Returns whether an endpoint wants nothing of this daemon now.
     */
    boolean isResting(EndpointState state, long nowMillis) {
        return notices.restMillis(state.endpoint().incarnation(), nowMillis) > 0;
    }

    /**
     * Returns whether this daemon may call an endpoint now: it wants to be called, and is not in an evacuated domain.
     */
    boolean mayCall(EndpointState state, long nowMillis) {
        return !isResting(state, nowMillis) && !evacuated.isEvacuated(state);
    }

    /**
     * Returns the endpoints that want nothing of this daemon now.
     */
    public Set<EndpointId> resting(long nowMillis) {
        return states.values().stream()
                .filter(state -> isResting(state, nowMillis))
                .map(state -> state.endpoint().id())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Records that a request was assigned to a listed endpoint, which counts for its rate limit.
     *
     * @return when the request used a slot of a cold endpoint, for {@link #takesAssigned}
     */
    long recordSent(EndpointId endpoint, long nowMillis) {
        return pacing.recordSent(find(endpoint), nowMillis);
    }

    /**
     * Returns whether a request that was assigned to an endpoint earlier may be sent to it now.
     *
     * @param state      null if it is not listed any more
     * @param slotMillis what {@link #recordSent} returned
     */
    boolean takesAssigned(EndpointState state, long slotMillis, long nowMillis) {
        return state != null
                && !state.endpoint().leaving()
                && mayCall(state, nowMillis)
                && pacing.confirm(state, slotMillis, nowMillis);
    }

    /**
     * Returns whether an endpoint counts as cold.
     */
    boolean isCold(Endpoint endpoint, long nowMillis) {
        return pacing.coldMillis(endpoint, nowMillis) > 0;
    }

    /**
     * Paces the endpoints of a failure domain like cold ones until a time on the monotonic clock, in milliseconds, in
     * the pools for which the configuration says what cold endpoints take.
     */
    public void recordColdDomain(FailureDomain domain, long untilMillis) {
        pacing.recordColdDomain(domain, untilMillis);
    }

    /**
     * Returns how endpoints are paced.
     */
    EndpointPacing pacing() {
        return pacing;
    }

    /**
     * Returns why requests find no endpoint of a pool, if coldness is the reason; empty if not.
     */
    Optional<String> coldReason(PoolId pool, long nowMillis) {
        return pacing.coldReason(notLeaving(pool, EndpointScope.ALL), nowMillis);
    }

    /**
     * Returns the Retry-After of a request for which the pool has no endpoint: the time until the first of them takes
     * requests again if all rest or take none while cold, otherwise that in which they together take another one under
     * their rate limits. It is at least a second if all are in evacuated domains, as operators take longer to cancel an
     * evacuation.
     *
     * @param minMillis returned if no endpoint rests or has a limit, and at least, in milliseconds
     */
    long retryAfterMillis(PoolId pool, long minMillis, long nowMillis) {
        List<EndpointState> staying = notLeaving(pool, EndpointScope.ALL);
        long restMillis = staying.stream()
                .mapToLong(state -> Math.max(
                        notices.restMillis(state.endpoint().incarnation(), nowMillis),
                        pacing.closedMillis(state, nowMillis)))
                .min()
                .orElse(0);
        double perSecond = staying.stream()
                .mapToDouble(state -> pacing.limit(state, nowMillis).orElse(0))
                .sum();
        long limitMillis = perSecond == 0 ? 0 : (long) (MILLIS_PER_SECOND / perSecond);
        long evacuatedMillis = staying.isEmpty() && !evacuationNote(pool).isEmpty() ? EVACUATED_RETRY_MILLIS : 0;
        return Math.max(Math.max(minMillis, evacuatedMillis), Math.max(restMillis, limitMillis));
    }

    /**
     * Returns the endpoints of a pool that are not leaving and not in an evacuated domain, whatever their health.
     */
    List<EndpointState> notLeaving(PoolId pool, EndpointScope scope) {
        return states.values().stream()
                .filter(state -> state.endpoint().pool().equals(pool)
                        && !state.endpoint().leaving()
                        && !evacuated.isEvacuated(state)
                        && scope.includes(state.endpoint()))
                .toList();
    }

    /**
     * Excludes endpoints from selection until a time on the monotonic clock; unlisted ones are ignored.
     */
    public void avoid(Collection<EndpointId> endpoints, long untilMillis) {
        endpoints.stream().map(states::get).filter(Objects::nonNull).forEach(state -> state.avoidUntil(untilMillis));
    }

    /**
     * Records that an endpoint has said, to any daemon, that it leaves. Its incarnation gets no requests from now on,
     * whatever its entry says.
     */
    void recordLeaving(EndpointIncarnation endpoint, long nowMillis) {
        if (notices.recordLeaving(endpoint, nowMillis)) {
            EndpointState state = states.get(endpoint.endpoint());
            if (state != null && state.endpoint().incarnation().equals(endpoint)) {
                state.updateEndpoint(state.endpoint().asLeaving());
            }
            Event.of("endpoint-leaves")
                    .with("endpoint", endpoint.endpoint())
                    .with("born", endpoint.startMillis())
                    .info(LOGGER);
        }
    }

    /**
     * Returns the endpoints that have said that they leave.
     */
    public Set<EndpointIncarnation> saidToLeave() {
        return notices.leaving();
    }

    /**
     * Records that an endpoint wants nothing of this daemon for a while.
     */
    void recordRest(EndpointState state, long restMillis, long nowMillis) {
        if (notices.recordRest(state.endpoint().incarnation(), restMillis, nowMillis)) {
            Event.of("endpoint-rests")
                    .with("endpoint", state.endpoint().id())
                    .with("millis", restMillis)
                    .info(LOGGER);
        }
    }

    Collection<EndpointState> all() {
        return states.values();
    }

    /**
     * Returns the endpoint that is listed at an address; empty if there is none.
     */
    Optional<EndpointState> at(String address) {
        return Optional.ofNullable(statesByAddress.get(address));
    }

    /**
     * Returns the pools that have endpoints, leaving ones included.
     */
    public Set<PoolId> pools() {
        return states.values().stream().map(state -> state.endpoint().pool()).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Forgets why endpoints of a pool were ejected, as the path to them was at fault.
     */
    void forgetFailures(PoolId pool) {
        states.values().stream()
                .filter(state -> state.endpoint().pool().equals(pool))
                .forEach(state -> state.health().forget());
    }

    /**
     * Returns how many requests of this daemon the endpoints of a pool are executing or have yet to answer.
     */
    int running(PoolId pool) {
        return states.values().stream()
                .filter(state -> state.endpoint().pool().equals(pool))
                .mapToInt(EndpointState::running)
                .sum();
    }

    /**
     * Returns the pools whose endpoints are executing or have yet to answer requests of this daemon. Called several
     * times a second.
     */
    Set<PoolId> poolsWithRequests() {
        Set<PoolId> pools = new HashSet<>();
        for (EndpointState state : states.values()) {
            if (state.running() > 0) {
                pools.add(state.endpoint().pool());
            }
        }
        return pools;
    }

    /**
     * Returns the state of an endpoint; null if it is not listed.
     */
    EndpointState find(EndpointId id) {
        return states.get(id);
    }
}
