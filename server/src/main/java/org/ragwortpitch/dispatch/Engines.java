package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.Engine;

/**
 * Supplies clients of engines.
 */
@FunctionalInterface
public interface Engines {

    /**
     * Supplies the client of an engine.
     *
     * @param endpoint the engine's rule
     * @return the client
     */
    Engine of(EndpointRule endpoint);
}
