package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.logging.Event;

/**
 * Logs changes of the listing of endpoints.
 */
final class EndpointEvents {

    private static final Logger LOGGER = System.getLogger(EndpointEvents.class.getName());

    private EndpointEvents() {}

    static void logListed(Endpoint endpoint) {
        event("endpoint-listed", endpoint).info(LOGGER);
    }

    static void logGone(Endpoint endpoint) {
        event("endpoint-gone", endpoint).info(LOGGER);
    }

    static void logChange(Endpoint before, Endpoint now) {
        if (before.leaving() != now.leaving() || before.role() != now.role()) {
            event("endpoint-changed", now).info(LOGGER);
        }
    }

    private static Event event(String name, Endpoint endpoint) {
        return Event.of(name)
                .with("endpoint", endpoint.id())
                .with("pool", endpoint.pool())
                .with("address", endpoint.address())
                .with("domain", endpoint.domain())
                .with("role", endpoint.role())
                .with("leaving", endpoint.leaving())
                .with("reclaimable", endpoint.reclaimable())
                .with("born", endpoint.startMillis())
                .with("version", endpoint.version());
    }
}
