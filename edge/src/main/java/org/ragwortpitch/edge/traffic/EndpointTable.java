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
import org.ragwortpitch.health.EndpointNotices;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.placement.EngineSpeeds;
import org.ragwortpitch.resumption.ListedVersions;

/**
 * The endpoints in the current listing, with the state of each. Confined to the traffic thread.
 */
public final class EndpointTable {

    private static final Logger LOGGER = System.getLogger(EndpointTable.class.getName());

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EndpointPermits permits;
    private final Consumer<String> onAddressRemoved;
    private final boolean firstStart;
    private final Map<PoolId, ListedVersions> versions = new HashMap<>();
    private final EndpointNotices notices = new EndpointNotices();
    private final EngineSpeeds speeds = new EngineSpeeds();
    private Map<EndpointId, EndpointState> states = new HashMap<>();
    private Map<String, EndpointState> statesByAddress = Map.of();

    /**
     * Creates a table without endpoints.
     *
     * @param permits          which endpoints may get a request, as far as they limit the rate
     * @param firstStart       whether the whole fleet starts for the first time
     * @param onAddressRemoved called with the address of each endpoint incarnation that is no longer listed
     */
    public EndpointTable(EndpointPermits permits, boolean firstStart, Consumer<String> onAddressRemoved) {
        this.firstStart = firstStart;
        this.permits = permits;
        this.onAddressRemoved = onAddressRemoved;
    }

    /**
     * Applies a new listing; endpoints of the same incarnation keep their state.
     */
    public void apply(Collection<Endpoint> listed, Deployment deployment, long nowMillis) {
        notices.listed(listed.stream().map(Endpoint::incarnation).toList(), nowMillis);
        Map<EndpointId, EndpointState> next = new HashMap<>();
        // Endpoints in the first listing after a daemon's start are not new, so they are past their settling time.
        long listedMillis = states.isEmpty() ? nowMillis - EndpointState.SETTLING_MILLIS : nowMillis;
        for (Endpoint entry : listed) {
            Endpoint endpoint = notices.isLeaving(entry.incarnation()) ? entry.asLeaving() : entry;
            EndpointState known = states.get(endpoint.id());
            Optional<EngineSpec> spec = deployment.pool(endpoint.pool()).flatMap(Pool::engine);
            if (known != null && known.endpoint().isSameIncarnation(endpoint)) {
                logChange(known.endpoint(), endpoint);
                known.updateEndpoint(endpoint);
                known.configure(spec);
                next.put(endpoint.id(), known);
            } else {
                event("endpoint-listed", endpoint).info(LOGGER);
                next.put(endpoint.id(), new EndpointState(endpoint, spec, listedMillis));
            }
        }
        states.forEach((id, state) -> {
            EndpointState now = next.get(id);
            if (now == null || now != state) {
                event("endpoint-gone", state.endpoint()).info(LOGGER);
                onAddressRemoved.accept(state.endpoint().address());
            }
        });
        states = next;
        statesByAddress = next.values().stream()
                .collect(Collectors.toMap(state -> state.endpoint().address(), state -> state, (one, other) -> other));
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
     * Records which software versions a reading of the endpoints' list shows.
     */
    public void recordRead(EndpointReading reading, long nowMillis) {
        Set<PoolId> pools = new HashSet<>(versions.keySet());
        pools.addAll(reading.listed().keySet());
        pools.addAll(reading.since().keySet());
        pools.forEach(pool -> versions.computeIfAbsent(pool, id -> new ListedVersions(firstStart))
                .read(
                        reading.listed().getOrDefault(pool, Set.of()),
                        reading.since().getOrDefault(pool, Set.of()),
                        reading.continuous(),
                        reading.sentMillis(),
                        nowMillis));
    }

    /**
     * Returns the only software version of a pool's engines that can have begun a stream; empty if there may be
     * several.
     *
     * @param arrivedMillis when the request that takes the stream up arrived
     */
    Optional<SoftwareVersion> onlyVersion(PoolId pool, long arrivedMillis, long nowMillis) {
        return Optional.ofNullable(versions.get(pool)).flatMap(listed -> listed.only(arrivedMillis, nowMillis));
    }

    /**
     * Returns whether the version that began a stream may be known once the list has been read again.
     *
     * @param arrivedMillis when the request that takes the stream up arrived
     */
    boolean awaitsReading(PoolId pool, long arrivedMillis, long nowMillis) {
        ListedVersions listed = versions.get(pool);
        return listed != null && listed.awaitsReading(arrivedMillis, nowMillis);
    }

    /**
     * Returns the endpoints of a pool that can get requests: those that are healthy, not avoided and not settling, or
     * all available ones if there are none.
     *
     * @param excluded endpoints that the request has already tried
     */
    List<EndpointState> usable(PoolId pool, Set<EndpointId> excluded, long nowMillis) {
        List<EndpointState> staying = available(pool, excluded, nowMillis);
        List<EndpointState> healthy = staying.stream()
                .filter(state -> state.health().isUsable(nowMillis)
                        && !state.isAvoided(nowMillis)
                        && !state.isSettling(nowMillis))
                .toList();
        return healthy.isEmpty() ? staying : healthy;
    }

    /**
     * Returns the endpoints of a pool that are not leaving, not resting and not at their rate limit, whatever their
     * health.
     */
    List<EndpointState> available(PoolId pool, Set<EndpointId> excluded, long nowMillis) {
        return notLeaving(pool, excluded).stream()
                .filter(state -> !isResting(state, nowMillis) && permits.isOpen(state))
                .toList();
    }

    /**
     * Returns whether an endpoint wants nothing of this daemon now.
     */
    boolean isResting(EndpointState state, long nowMillis) {
        return notices.restMillis(state.endpoint().incarnation(), nowMillis) > 0;
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
     * Records that a request was assigned to an endpoint, which counts for its rate limit.
     */
    void recordSent(EndpointState state) {
        permits.recordSent(state);
    }

    /**
     * Returns the Retry-After of a request for which the pool has no endpoint: the time until the first of them takes
     * requests again if all rest, otherwise that in which they together take another one under their rate limits.
     *
     * @param minMillis returned if no endpoint rests or has a limit, and at least, in milliseconds
     */
    long retryAfterMillis(PoolId pool, long minMillis, long nowMillis) {
        List<EndpointState> staying = notLeaving(pool, Set.of());
        long restMillis = staying.stream()
                .mapToLong(state -> notices.restMillis(state.endpoint().incarnation(), nowMillis))
                .min()
                .orElse(0);
        double perSecond = staying.stream()
                .mapToDouble(state -> state.pacer().limit().orElse(0))
                .sum();
        long limitMillis = perSecond == 0 ? 0 : (long) (MILLIS_PER_SECOND / perSecond);
        return Math.max(minMillis, Math.max(restMillis, limitMillis));
    }

    /**
     * Returns the endpoints of a pool that are not leaving, whatever their health.
     */
    List<EndpointState> notLeaving(PoolId pool, Set<EndpointId> excluded) {
        return states.values().stream()
                .filter(state -> state.endpoint().pool().equals(pool)
                        && !state.endpoint().leaving()
                        && !excluded.contains(state.endpoint().id()))
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

    private static void logChange(Endpoint before, Endpoint now) {
        if (before.leaving() != now.leaving() || before.role() != now.role()) {
            event("endpoint-changed", now).info(LOGGER);
        }
    }

    private static Event event(String name, Endpoint endpoint) {
        return Event.of(name)
                .with("endpoint", endpoint.id())
                .with("pool", endpoint.pool())
                .with("address", endpoint.address())
                .with("domain", endpoint.domain())
                .with("role", endpoint.role())
                .with("leaving", endpoint.leaving())
                .with("reclaimable", endpoint.reclaimable())
                .with("born", endpoint.startMillis())
                .with("version", endpoint.version());
    }

    @Override
    public String toString() {
        return states.keySet().stream().map(EndpointId::value).collect(Collectors.joining(","));
    }
}
