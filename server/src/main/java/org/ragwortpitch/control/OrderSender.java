package org.ragwortpitch.control;

import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.EngineOrder;

/**
 * Sends orders to engines; answers come as messages.
 */
@FunctionalInterface
public interface OrderSender {

    /**
     * Sends an order.
     *
     * @param endpoint the engine
     * @param order    the order
     */
    void send(EndpointRule endpoint, EngineOrder order);
}
