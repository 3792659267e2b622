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
 * Watches for endpoints that the platform takes back, so that they get no new requests. An answer that breaks off with
 * its endpoint is resumed elsewhere. Used by one thread at a time.
 */
public final class ReclaimWatch {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(ReclaimWatch.class.getName());

    /**
     * Lists the endpoints.
     */
    private final EndpointOrders platform;

    /**
     * Takes the endpoints that are taken back.
     */
    private final Dispatcher dispatcher;

    /**
     * The endpoints that were announced to be taken back.
     */
    private volatile Set<EndpointId> announced = Set.of();

    /**
     * Makes a watch.
     *
     * @param platform   lists the endpoints
     * @param dispatcher takes the endpoints that are taken back
     */
    public ReclaimWatch(EndpointOrders platform, Dispatcher dispatcher) {
        this.platform = platform;
        this.dispatcher = dispatcher;
    }

    /**
     * Asks the platform. Without an answer, what was announced before stands.
     */
    public void poll() {
        platform.list().thenAccept(this::follow);
    }

    /**
     * Takes the platform's list.
     *
     * @param list the list
     */
    private void follow(EndpointList list) {
        Set<EndpointId> next = list.endpoints().stream()
                .filter(endpoint -> endpoint.reclaimMillis() >= 0)
                .map(ListedEndpoint::endpoint)
                .map(EndpointId::new)
                .collect(Collectors.toSet());
        Set<EndpointId> fresh = new HashSet<>(next);
        fresh.removeAll(announced);
        fresh.forEach(endpoint ->
                Event.of("endpoint-reclaimed").with("endpoint", endpoint).warn(LOGGER));
        announced = next;
        dispatcher.reclaimed(next);
    }
}
