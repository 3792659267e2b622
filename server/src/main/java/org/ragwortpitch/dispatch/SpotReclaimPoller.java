package org.ragwortpitch.dispatch;

import java.lang.System.Logger;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.platform.EndpointList;
import org.ragwortpitch.platform.EndpointOrders;
import org.ragwortpitch.platform.ListedEndpoint;

/**
 * Polls the platform for spot endpoints that it has announced to reclaim, so that they get no new requests. A response
 * that breaks off when its endpoint goes is resumed on another one. Confined to one thread at a time.
 */
public final class SpotReclaimPoller {

    private static final Logger LOGGER = System.getLogger(SpotReclaimPoller.class.getName());

    private final EndpointOrders platform;

    private final Dispatcher dispatcher;

    /**
     * The endpoints that the platform had announced to reclaim in its last list.
     */
    private volatile Set<EndpointId> announced = Set.of();

    /**
     * Creates a poller that regards no endpoint as reclaimed yet.
     *
     * @param platform   lists the endpoints
     * @param dispatcher stops sending new requests to the reclaimed endpoints
     */
    public SpotReclaimPoller(EndpointOrders platform, Dispatcher dispatcher) {
        this.platform = platform;
        this.dispatcher = dispatcher;
    }

    /**
     * Polls the platform. The last known set stays in force if no response arrives.
     */
    public void poll() {
        platform.list().thenAccept(this::apply);
    }

    /**
     * Applies the platform's list and logs each newly announced endpoint.
     */
    private void apply(EndpointList list) {
        Set<EndpointId> next = list.endpoints().stream()
                .filter(endpoint -> endpoint.reclaimMillis() >= 0)
                .map(ListedEndpoint::endpoint)
                .map(EndpointId::new)
                .collect(Collectors.toSet());
        Set<EndpointId> newlyAnnounced = new HashSet<>(next);
        newlyAnnounced.removeAll(announced);
        newlyAnnounced.forEach(endpoint ->
                Event.of("endpoint-reclaimed").with("endpoint", endpoint).warn(LOGGER));
        announced = next;
        dispatcher.reclaimed(next);
    }
}
