package org.ragwortpitch.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.routing.RequestCost;

/**
 * The right to run one request at an endpoint. Must be released; only the first release counts.
 */
public final class Slot {

    private final Dispatcher dispatcher;

    private final EndpointRule endpoint;

    private final RequestCost demand;

    /**
     * Whether the request is suspected of being a poison request.
     */
    private final boolean suspect;

    private final AtomicBoolean prefilled = new AtomicBoolean();

    private final AtomicBoolean released = new AtomicBoolean();

    Slot(Dispatcher dispatcher, EndpointRule endpoint, RequestCost demand, boolean suspect) {
        this.dispatcher = dispatcher;
        this.endpoint = endpoint;
        this.demand = demand;
        this.suspect = suspect;
    }

    /**
     * Returns the rule of the endpoint.
     */
    public EndpointRule endpoint() {
        return endpoint;
    }

    /**
     * Records that the prompt was prefilled, which the first event shows. Only the first call counts.
     */
    public void prefilled() {
        if (prefilled.compareAndSet(false, true)) {
            dispatcher.prefilled(endpoint.id(), demand);
        }
    }

    /**
     * Releases the slot.
     *
     * @param failed whether the endpoint failed the request
     */
    public void release(boolean failed) {
        if (released.compareAndSet(false, true)) {
            prefilled();
            dispatcher.release(endpoint.id(), failed, suspect);
        }
    }
}
