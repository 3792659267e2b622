package org.ragwortpitch.dispatch;

import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.LoadingCache;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.endpoint.EngineClient;
import org.ragwortpitch.endpoint.HttpEngineClient;
import scala.concurrent.duration.Duration;

/**
 * Supplies clients of engines over HTTP, cached by address.
 */
public final class HttpEngineClients implements EngineClients {

    private static final long MAX_CACHED_CLIENTS = 20_000;

    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 1_024;

    private static final long IDLE_TIMEOUT_MILLIS = 180_000;

    private final LoadingCache<String, EngineClient> clients;

    /**
     * Creates a supplier.
     *
     * @param system the actor system that connections belong to
     */
    public HttpEngineClients(ActorSystem system) {
        ConnectionPoolSettings pool = poolSettings(system);
        this.clients = Caffeine.newBuilder()
                .maximumSize(MAX_CACHED_CLIENTS)
                .build(address -> new HttpEngineClient(system, address, pool));
    }

    /**
     * Returns the settings of the connection pools to endpoints. The pools never retry a request themselves.
     *
     * @param system the actor system that connections belong to
     */
    public static ConnectionPoolSettings poolSettings(ActorSystem system) {
        return ConnectionPoolSettings.create(system)
                .withMaxConnections(MAX_CONNECTIONS_PER_ENDPOINT)
                .withMaxOpenRequests(MAX_CONNECTIONS_PER_ENDPOINT * 2)
                .withMaxRetries(0)
                .withIdleTimeout(Duration.create(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Override
    public EngineClient of(EndpointRule endpoint) {
        return clients.get(endpoint.address());
    }
}
