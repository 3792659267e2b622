package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.ColdStart;
import org.ragwortpitch.deployment.Deployment;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.pacing.ColdEndpoints;

/**
 * Tells which endpoints this daemon may send a request to now, as far as they state a rate limit or are cold. Without a
 * pool for which the configuration says what a cold endpoint takes, no endpoint counts as cold. Confined to the traffic
 * thread.
 */
public final class EndpointPacing {

    private static final Logger LOGGER = System.getLogger(EndpointPacing.class.getName());

    /**
     * How long a request may be sent to a cold endpoint after it was assigned to a slot, in milliseconds. Requests that
     * wait longer, for a prefill, would gather: with 300 ms, those of at most four slots fall into one second.
     */
    private static final long MAX_ASSIGNED_MILLIS = 300;

    /** A daemon without requests for a pool during this time lends its slots, in milliseconds. */
    private static final long IDLE_MILLIS = 1_000;

    /** Stands for a request that no slot was used for. */
    static final long NO_SLOT = Long.MIN_VALUE;

    private final EndpointPermits permits;
    private final EdgeMetrics metrics;
    private final ColdEndpoints cold = new ColdEndpoints();
    private final Set<EndpointIncarnation> unreadable = new HashSet<>();
    private final Map<PoolId, Long> wantedMillis = new HashMap<>();
    private Map<PoolId, ColdStart> coldStarts = Map.of();

    /**
     * Creates a pacing that knows of no cold endpoint.
     */
    public EndpointPacing(EndpointPermits permits, EdgeMetrics metrics) {
        this.permits = permits;
        this.metrics = metrics;
    }

    /**
     * Applies a listing. Endpoints that have started since the first one count as cold from now on, as their entries
     * may not say so yet.
     */
    void apply(Collection<Endpoint> listed, Deployment deployment, long nowMillis) {
        coldStarts = deployment.pools().stream()
                .filter(pool -> pool.coldStart().isPresent())
                .collect(Collectors.toMap(
                        pool -> pool.id(), pool -> pool.coldStart().get()));
        Set<EndpointIncarnation> incarnations =
                listed.stream().map(Endpoint::incarnation).collect(Collectors.toSet());
        Set<EndpointIncarnation> started = cold.recordListed(incarnations, nowMillis);
        unreadable.retainAll(incarnations);
        for (Endpoint endpoint : listed) {
            ColdStart coldStart = coldStarts.get(endpoint.pool());
            if (coldStart != null && started.contains(endpoint.incarnation())) {
                recordCold(endpoint.incarnation(), coldStart.durationMillis(), "listed", nowMillis);
            }
            if (endpoint.coldMillis() < 0) {
                recordUnreadable(endpoint, "entry");
            }
        }
    }

    /**
     * Records how much longer an endpoint is cold, listed or not.
     *
     * @param remainingMillis from now, in milliseconds; ignored unless positive
     * @param source          what states it, for the log
     */
    void recordCold(EndpointIncarnation endpoint, long remainingMillis, String source, long nowMillis) {
        if (cold.record(endpoint, remainingMillis, nowMillis) && !coldStarts.isEmpty()) {
            Event.of("endpoint-cold")
                    .with("endpoint", endpoint.endpoint())
                    .with("millis", remainingMillis)
                    .with("source", source)
                    .info(LOGGER);
        }
    }

    /**
     * Records that an endpoint states a cold time that can't be read, which counts as none.
     */
    void recordUnreadable(Endpoint endpoint, String source) {
        if (coldStarts.containsKey(endpoint.pool()) && unreadable.add(endpoint.incarnation())) {
            Event.of("endpoint-cold-unreadable")
                    .with("endpoint", endpoint.id())
                    .with("source", source)
                    .warn(LOGGER);
        }
    }

    /**
     * Records that all endpoints of a failure domain may be cold until a time on the monotonic clock, in milliseconds.
     */
    void recordColdDomain(FailureDomain domain, long untilMillis) {
        cold.recordDomain(domain, untilMillis);
    }

    /**
     * Returns how much longer an endpoint counts as cold, in milliseconds; 0 if it does not.
     */
    long coldMillis(Endpoint endpoint, long nowMillis) {
        return coldStarts.containsKey(endpoint.pool()) ? cold.remainingMillis(endpoint, nowMillis) : 0;
    }

    private OptionalDouble coldPerSecond(Endpoint endpoint, long nowMillis) {
        return coldMillis(endpoint, nowMillis) > 0
                ? OptionalDouble.of(coldStarts.get(endpoint.pool()).requestsPerSecond())
                : OptionalDouble.empty();
    }

    /**
     * Returns the requests a second to which all daemons together are held; empty if there is no such limit.
     */
    OptionalDouble limit(EndpointState state, long nowMillis) {
        return state.pacer().limit(coldPerSecond(state.endpoint(), nowMillis));
    }

    /**
     * Returns how much longer an endpoint takes nothing at all since it is cold, in milliseconds; 0 if it takes any.
     */
    long closedMillis(EndpointState state, long nowMillis) {
        OptionalDouble perSecond = coldPerSecond(state.endpoint(), nowMillis);
        return perSecond.isPresent() && perSecond.getAsDouble() == 0 ? coldMillis(state.endpoint(), nowMillis) : 0;
    }

    /**
     * Returns why requests find no endpoint, if coldness is the reason; empty if not.
     *
     * @param staying the endpoints of a pool that are not leaving
     */
    Optional<String> coldReason(Collection<EndpointState> staying, long nowMillis) {
        long cold = staying.stream()
                .filter(state -> coldMillis(state.endpoint(), nowMillis) > 0)
                .count();
        boolean closed = staying.stream().allMatch(state -> closedMillis(state, nowMillis) > 0);
        return cold == 0
                ? Optional.empty()
                : Optional.of(cold + " of " + staying.size() + " endpoints of the pool are cold and take "
                        + (closed ? "no" : "few") + " requests until they are warm; retry later");
    }

    /**
     * Returns whether this daemon may send the endpoint a request now.
     */
    boolean isOpen(EndpointState state, long nowMillis) {
        return permits.isOpen(state, coldPerSecond(state.endpoint(), nowMillis));
    }

    /**
     * Records that a request was assigned to an endpoint.
     *
     * @return the present time if it used a slot of a cold endpoint, or {@link #NO_SLOT}
     */
    long recordSent(EndpointState state, long nowMillis) {
        OptionalDouble perSecond = coldPerSecond(state.endpoint(), nowMillis);
        permits.recordSent(state, perSecond);
        return perSecond.isPresent() ? nowMillis : NO_SLOT;
    }

    /**
     * Returns whether a request that was assigned to an endpoint earlier may be sent to it now. If the endpoint is cold
     * and the request has no recent slot, it uses one.
     *
     * @param slotMillis when its slot was used, as {@link #recordSent} returned it
     */
    boolean confirm(EndpointState state, long slotMillis, long nowMillis) {
        if (coldMillis(state.endpoint(), nowMillis) == 0 || slotMillis + MAX_ASSIGNED_MILLIS >= nowMillis) {
            return true;
        }
        boolean open = isOpen(state, nowMillis);
        if (open) {
            recordSent(state, nowMillis);
        }
        return open;
    }

    /**
     * Records that a request looks for an endpoint of a pool.
     *
     * @param candidates the endpoints that it might be sent to if none had a rate limit
     * @param offered    those of them that this daemon may send it to
     */
    void recordWanted(
            PoolId pool, Collection<EndpointState> candidates, Collection<EndpointState> offered, long nowMillis) {
        if (coldStarts.containsKey(pool)) {
            wantedMillis.put(pool, nowMillis);
            Set<EndpointState> open = Set.copyOf(offered);
            if (candidates.stream()
                    .anyMatch(state -> !open.contains(state) && coldMillis(state.endpoint(), nowMillis) > 0)) {
                metrics.recordColdHeldOff();
            }
        }
    }

    /**
     * Gives up a slot of this daemon for another one if the endpoint is cold and no request has looked for an endpoint
     * of its pool lately.
     *
     * @param leadMillis the time that the other daemon may need to learn of the loan, in milliseconds
     * @return the number of the slot; empty if there is none to lend now
     */
    OptionalLong lend(EndpointState state, long leadMillis, long nowMillis) {
        OptionalDouble perSecond = coldPerSecond(state.endpoint(), nowMillis);
        Long wanted = wantedMillis.get(state.endpoint().pool());
        if (perSecond.orElse(0) == 0 || wanted != null && nowMillis - wanted < IDLE_MILLIS) {
            return OptionalLong.empty();
        }
        OptionalLong slot = permits.lend(state, leadMillis, perSecond);
        slot.ifPresent(lent -> metrics.recordSlotLent());
        return slot;
    }

    /**
     * Records that this daemon may use a slot of another daemon, if the endpoint is cold.
     */
    void borrow(EndpointState state, long slot, long nowMillis) {
        OptionalDouble perSecond = coldPerSecond(state.endpoint(), nowMillis);
        if (perSecond.isPresent()) {
            permits.borrow(state, slot, perSecond);
        }
    }

    /**
     * Returns whether no pool's endpoints are paced while cold.
     */
    boolean isOff() {
        return coldStarts.isEmpty();
    }

    /**
     * Returns the cold endpoints to tell other daemons of, with how much longer they are cold.
     *
     * @param sinceMillis only those whose end has moved since then, on the monotonic clock
     */
    Map<EndpointIncarnation, Long> changedSince(long sinceMillis, long nowMillis) {
        return coldStarts.isEmpty() ? Map.of() : cold.changedSince(sinceMillis, nowMillis);
    }
}
