package org.ragwortpitch.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.routing.Demand;

/**
 * The right to have one request under way at an endpoint. It must be released once.
 */
public final class Slot {

    /**
     * The dispatcher that gave it.
     */
    private final Dispatcher dispatcher;

    /**
     * The endpoint.
     */
    private final EndpointRule endpoint;

    /**
     * What the request asks of the endpoint.
     */
    private final Demand demand;

    /**
     * Whether the request is suspected of crashing endpoints.
     */
    private final boolean suspect;

    /**
     * Whether the prompt was read.
     */
    private final AtomicBoolean prefilled = new AtomicBoolean();

    /**
     * Whether the slot was released.
     */
    private final AtomicBoolean released = new AtomicBoolean();

    /**
     * Makes a slot.
     *
     * @param dispatcher the dispatcher that gives it
     * @param endpoint   the endpoint
     * @param demand     what the request asks of the endpoint
     * @param suspect    whether the request is suspected of crashing endpoints
     */
    Slot(Dispatcher dispatcher, EndpointRule endpoint, Demand demand, boolean suspect) {
        this.dispatcher = dispatcher;
        this.endpoint = endpoint;
        this.demand = demand;
        this.suspect = suspect;
    }

    /**
     * Tells the endpoint.
     *
     * @return the endpoint
     */
    public EndpointRule endpoint() {
        return endpoint;
    }

    /**
     * Notes that the prompt was read, as the first token shows.
     */
    public void prefilled() {
        if (prefilled.compareAndSet(false, true)) {
            dispatcher.prefilled(endpoint.id(), demand);
        }
    }

    /**
     * Gives the slot back.
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
