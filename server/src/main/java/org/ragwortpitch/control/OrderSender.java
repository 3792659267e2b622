package org.ragwortpitch.control;

import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.EngineOrder;

/**
 * Sends orders to engines. Results arrive as {@link OrderAnswered} messages.
 */
@FunctionalInterface
public interface OrderSender {

    /**
     * Sends an order without waiting for the result.
     *
     * @param endpoint the endpoint of the engine
     * @param order    the order
     */
    void send(EndpointRule endpoint, EngineOrder order);
}
