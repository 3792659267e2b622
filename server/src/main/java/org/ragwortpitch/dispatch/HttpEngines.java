package org.ragwortpitch.dispatch;

import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.LoadingCache;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.Engine;
import org.ragwortpitch.endpoint.HttpEngine;
import scala.concurrent.duration.Duration;

/**
 * Supplies clients of engines over HTTP.
 */
public final class HttpEngines implements Engines {

    /**
     * The most clients kept.
     */
    private static final long MAX_CLIENTS = 20_000;

    /**
     * The most connections to one endpoint.
     */
    private static final int MAX_CONNECTIONS = 1_024;

    /**
     * How long a connection may stay silent, in milliseconds.
     */
    private static final long IDLE_MILLIS = 180_000;

    /**
     * The clients by address.
     */
    private final LoadingCache<String, Engine> clients;

    /**
     * Makes a supplier.
     *
     * @param system the actor system that connections belong to
     */
    public HttpEngines(ActorSystem system) {
        ConnectionPoolSettings pool = poolSettings(system);
        this.clients =
                Caffeine.newBuilder().maximumSize(MAX_CLIENTS).build(address -> new HttpEngine(system, address, pool));
    }

    /**
     * Tells how connections to endpoints are kept. No request is sent again by the pool itself.
     *
     * @param system the actor system that connections belong to
     * @return the settings
     */
    public static ConnectionPoolSettings poolSettings(ActorSystem system) {
        return ConnectionPoolSettings.create(system)
                .withMaxConnections(MAX_CONNECTIONS)
                .withMaxOpenRequests(MAX_CONNECTIONS * 2)
                .withMaxRetries(0)
                .withIdleTimeout(Duration.create(IDLE_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Override
    public Engine of(EndpointRule endpoint) {
        return clients.get(endpoint.address());
    }
}
