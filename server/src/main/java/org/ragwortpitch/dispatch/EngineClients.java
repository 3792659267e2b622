package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.EngineClient;

/**
 * Supplies the clients of engines.
 */
@FunctionalInterface
public interface EngineClients {

    /**
     * Returns the client of an engine, which may be shared.
     */
    EngineClient of(EndpointRule endpoint);
}
