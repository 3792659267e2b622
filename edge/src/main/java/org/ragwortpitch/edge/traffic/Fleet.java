package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.Pool;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * The endpoints that requests can go to. Confined to the traffic thread.
 */
public final class Fleet {

    private static final Logger LOGGER = System.getLogger(Fleet.class.getName());

    private final Consumer<String> addressGone;
    private Map<EndpointId, EndpointState> states = new HashMap<>();

    /**
     * Makes an empty fleet.
     *
     * @param addressGone hears of addresses whose endpoint is gone
     */
    public Fleet(Consumer<String> addressGone) {
        this.addressGone = addressGone;
    }

    /**
     * Takes a new list of endpoints over; what is known of lives that go on is kept.
     */
    public void apply(Collection<Endpoint> listed, Deployment deployment, long nowMillis) {
        Map<EndpointId, EndpointState> next = new HashMap<>();
        // What is listed at a daemon's start has been there for a while.
        long listedMillis = states.isEmpty() ? nowMillis - EndpointState.SETTLING_MILLIS : nowMillis;
        for (Endpoint endpoint : listed) {
            EndpointState known = states.get(endpoint.id());
            if (known != null && known.endpoint().isSameLife(endpoint)) {
                noteChange(known.endpoint(), endpoint);
                known.listed(endpoint);
                next.put(endpoint.id(), known);
            } else {
                event("endpoint-listed", endpoint).info(LOGGER);
                next.put(
                        endpoint.id(),
                        new EndpointState(
                                endpoint, deployment.pool(endpoint.pool()).flatMap(Pool::engine), listedMillis));
            }
        }
        states.forEach((id, state) -> {
            EndpointState now = next.get(id);
            if (now == null || now != state) {
                event("endpoint-gone", state.endpoint()).info(LOGGER);
                addressGone.accept(state.endpoint().address());
            }
        });
        states = next;
    }

    /**
     * Tells the endpoints of a pool that take requests: those in good health, or all if none is.
     *
     * @param excluded endpoints that a request has been at already
     */
    List<EndpointState> usable(PoolId pool, Set<EndpointId> excluded, long nowMillis) {
        List<EndpointState> staying = staying(pool, excluded);
        List<EndpointState> healthy = staying.stream()
                .filter(state -> state.health().isUsable(nowMillis)
                        && !state.isAvoided(nowMillis)
                        && !state.isSettling(nowMillis))
                .toList();
        return healthy.isEmpty() ? staying : healthy;
    }

    /**
     * Tells the endpoints of a pool that aren't leaving, whatever is thought of them.
     */
    List<EndpointState> staying(PoolId pool, Set<EndpointId> excluded) {
        return states.values().stream()
                .filter(state -> state.endpoint().pool().equals(pool)
                        && !state.endpoint().leaving()
                        && !excluded.contains(state.endpoint().id()))
                .toList();
    }

    /**
     * Leaves endpoints alone that serve nothing for a while.
     */
    public void avoid(Collection<EndpointId> endpoints, long untilMillis) {
        endpoints.stream().map(states::get).filter(Objects::nonNull).forEach(state -> state.avoid(untilMillis));
    }

    /**
     * Tells all endpoints that are known.
     */
    Collection<EndpointState> all() {
        return states.values();
    }

    /**
     * Finds an endpoint; null if it isn't listed.
     */
    EndpointState find(EndpointId id) {
        return states.get(id);
    }

    private static void noteChange(Endpoint before, Endpoint now) {
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
                .with("born", endpoint.bornMillis());
    }

    @Override
    public String toString() {
        return states.keySet().stream().map(EndpointId::value).collect(Collectors.joining(","));
    }
}
