package org.ragwortpitch.edge.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.adapter.RetryAfterCodec;
import org.ragwortpitch.contact.PoolContact;
import org.ragwortpitch.contact.PoolContact.Change;
import org.ragwortpitch.deployment.EndpointIncarnation;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.Cancellation;
import org.ragwortpitch.edge.http.ConnectionObserver;
import org.ragwortpitch.edge.http.UnexpectedResponse;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.poison.DisputedCrashes;

/**
 * Learns from the connections to endpoints whether this daemon reaches those of each pool, and what they say of
 * themselves in any response. Confined to the traffic thread.
 */
public final class EndpointContacts implements ConnectionObserver {

    private static final Logger LOGGER = System.getLogger(EndpointContacts.class.getName());

    private static final String LEAVING = "1";

    private static final int UNAVAILABLE = 503;

    /** A time in milliseconds, with an optional fraction. */
    private static final Pattern COLD_MILLIS = Pattern.compile("[0-9]{1,12}(\\.[0-9]{0,9})?");

    private final Supplier<EndpointTable> endpoints;
    private final Consumer<String> probe;
    private final PoisonRequests poison;
    private final EdgeMetrics metrics;
    private final LongSupplier clockMillis;
    private final LongSupplier wallMillis;
    private final Map<PoolId, PoolContact> contacts = new HashMap<>();
    private final Map<PoolId, Long> lostMillis = new HashMap<>();
    private final List<PoolId> due = new ArrayList<>();
    private final Map<PoolId, Set<Runnable>> lossListeners = new HashMap<>();
    private final DisputedCrashes disputed = new DisputedCrashes();

    /**
     * Creates contacts for the endpoints in a table.
     *
     * @param probe       opens a connection to an address and closes it again; this observer learns the outcome
     * @param poison      told which of the latest crashes may have been broken paths, and which were none
     * @param clockMillis the monotonic clock, in milliseconds
     * @param wallMillis  the wall clock that the majority of daemons agrees on, in milliseconds since 1970
     */
    public EndpointContacts(
            Supplier<EndpointTable> endpoints,
            Consumer<String> probe,
            PoisonRequests poison,
            EdgeMetrics metrics,
            LongSupplier clockMillis,
            LongSupplier wallMillis) {
        this.endpoints = endpoints;
        this.probe = probe;
        this.poison = poison;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
        this.wallMillis = wallMillis;
    }

    @Override
    public void onHeard(String address) {
        endpoints.get().at(address).ifPresent(state -> {
            PoolId pool = state.endpoint().pool();
            if (contact(pool).heard(now())) {
                onRegained(pool);
            }
        });
    }

    @Override
    public void onConnectFailed(String address) {
        endpoints.get().at(address).ifPresent(state -> contact(state.endpoint().pool())
                .connectFailed(state.endpoint().id(), now()));
    }

    @Override
    public void onResponse(String address, int status, HttpHeaders headers) {
        endpoints.get().at(address).ifPresent(state -> {
            disputed.responded(state.endpoint().incarnation(), now());
            if (LEAVING.equals(headers.get(Headers.LEAVING))) {
                endpoints.get().recordLeaving(state.endpoint().incarnation(), now());
            }
            recordCold(state, headers.get(Headers.COLD));
            if (status == UNAVAILABLE) {
                RetryAfterCodec.millis(headers.get(Headers.RETRY_AFTER), wallMillis.getAsLong())
                        .ifPresent(rest -> endpoints.get().recordRest(state, rest, now()));
            }
        });
    }

    private void recordCold(EndpointState state, String header) {
        if (header == null) {
            return;
        }
        if (COLD_MILLIS.matcher(header.trim()).matches()) {
            long millis = (long) Double.parseDouble(header.trim());
            endpoints.get().pacing().recordCold(state.endpoint().incarnation(), millis, "response", now());
        } else {
            endpoints.get().pacing().recordUnreadable(state.endpoint(), "response");
        }
    }

    @Override
    public void onUnexpectedResponse(UnexpectedResponse response) {
        metrics.recordUnexpectedResponse(response.origin());
    }

    /**
     * Returns whether this daemon reaches no endpoint of a pool.
     */
    boolean isLost(PoolId pool) {
        return lostMillis.containsKey(pool);
    }

    /**
     * Returns the pools of which this daemon reaches no endpoint.
     */
    public Set<PoolId> lostPools() {
        return Set.copyOf(lostMillis.keySet());
    }

    /**
     * Calls a listener each time contact with a pool is lost.
     *
     * @return removes the listener
     */
    Cancellation onLoss(PoolId pool, Runnable listener) {
        Set<Runnable> listeners = lossListeners.computeIfAbsent(pool, key -> new LinkedHashSet<>());
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    /**
     * Advances the contact with each pool to the present time. Called periodically.
     */
    public void check() {
        long now = now();
        Set<PoolId> waiting = endpoints.get().poolsWithRequests();
        waiting.forEach(this::contact);
        contacts.forEach((pool, contact) -> {
            if (contact.isDue(waiting.contains(pool), now)) {
                due.add(pool);
            }
        });
        due.forEach(pool -> advance(pool, waiting.contains(pool), now));
        due.clear();
        if (!disputed.isEmpty()) {
            disputed.settle(incarnations(endpoints.get().all()), now)
                    .forEach(endpoint -> poison.confirmCrash(endpoint, now));
        }
    }

    private void advance(PoolId pool, boolean waiting, long now) {
        List<EndpointState> staying = endpoints.get().notLeaving(pool, EndpointScope.ALL).stream()
                .sorted(Comparator.comparing(state -> !state.health().isUsable(now)))
                .toList();
        Map<EndpointId, String> addresses = staying.stream()
                .collect(Collectors.toMap(state -> state.endpoint().id(), state -> state.endpoint()
                        .address()));
        List<EndpointId> ids =
                staying.stream().map(state -> state.endpoint().id()).toList();
        PoolContact.Step step = contact(pool).advance(ids, waiting, now);
        if (step.change() == Change.LOST) {
            onLost(pool, ids.size());
        } else if (step.change() == Change.REGAINED) {
            onRegained(pool);
        }
        step.probes().forEach(endpoint -> probe.accept(addresses.get(endpoint)));
    }

    private void onLost(PoolId pool, int listed) {
        long now = now();
        lostMillis.put(pool, now);
        Event.of("contact-lost")
                .with("pool", pool)
                .with("endpoints", listed)
                .with("running", endpoints.get().running(pool))
                .warn(LOGGER);
        metrics.recordDependencyLoss("endpoints");
        endpoints.get().pools().forEach(other -> contact(other).suspect(now));
        Set<EndpointIncarnation> staying = incarnations(endpoints.get().notLeaving(pool, EndpointScope.ALL));
        poison.withdrawCrashes(pool, now - PoolContact.MAX_DETECTION_MILLIS, now).stream()
                .filter(staying::contains)
                .forEach(endpoint -> disputed.dispute(endpoint, now));
        List.copyOf(lossListeners.getOrDefault(pool, Set.of())).forEach(Runnable::run);
    }

    private static Set<EndpointIncarnation> incarnations(Collection<EndpointState> states) {
        return states.stream().map(state -> state.endpoint().incarnation()).collect(Collectors.toSet());
    }

    private void onRegained(PoolId pool) {
        Event.of("contact-regained")
                .with("pool", pool)
                .with("lost-millis", now() - lostMillis.remove(pool))
                .info(LOGGER);
        endpoints.get().forgetFailures(pool);
    }

    private PoolContact contact(PoolId pool) {
        return contacts.computeIfAbsent(pool, key -> new PoolContact());
    }

    private long now() {
        return clockMillis.getAsLong();
    }
}
