package org.ragwortpitch.edge.traffic;

import java.lang.System.Logger;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpitch.edge.http.ConnectionObserver;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;

/**
 * Logs when this daemon hears nothing from any endpoint of a pool although it waits for one. Confined to the traffic
 * thread.
 */
public final class EndpointContacts implements ConnectionObserver {

    private static final Logger LOGGER = System.getLogger(EndpointContacts.class.getName());

    /** Silence of a whole pool that is logged, in milliseconds: several times the gap between events of a stream. */
    private static final long SILENT_MILLIS = 300;

    private final Supplier<EndpointTable> endpoints;
    private final LongSupplier clockMillis;
    private final Map<PoolId, Silence> silences = new HashMap<>();

    /**
     * Creates contacts for the endpoints in a table.
     *
     * @param clockMillis the monotonic clock, in milliseconds
     */
    public EndpointContacts(Supplier<EndpointTable> endpoints, LongSupplier clockMillis) {
        this.endpoints = endpoints;
        this.clockMillis = clockMillis;
    }

    @Override
    public void onHeard(String address) {
        long nowMillis = clockMillis.getAsLong();
        endpoints
                .get()
                .poolAt(address)
                .map(silences::remove)
                .filter(Silence::logged)
                .ifPresent(silence -> Event.of("pool-heard")
                        .with("endpoint", address)
                        .with("silent-millis", nowMillis - silence.sinceMillis())
                        .with("connects-failed", silence.failedConnects())
                        .info(LOGGER));
    }

    @Override
    public void onConnectFailed(String address) {
        long nowMillis = clockMillis.getAsLong();
        endpoints
                .get()
                .poolAt(address)
                .ifPresent(pool -> silences.put(
                        pool,
                        silences.getOrDefault(pool, Silence.since(nowMillis)).withFailedConnect()));
    }

    /**
     * Checks the silence of each pool. Called periodically.
     */
    public void check() {
        long nowMillis = clockMillis.getAsLong();
        for (PoolId pool : endpoints.get().pools()) {
            int running = endpoints.get().running(pool);
            if (running > 0) {
                silences.putIfAbsent(pool, Silence.since(nowMillis));
            }
            Silence silence = silences.get(pool);
            if (silence != null && !silence.logged() && nowMillis - silence.sinceMillis() >= SILENT_MILLIS) {
                silences.put(pool, silence.asLogged());
                Event.of("pool-silent")
                        .with("pool", pool)
                        .with("silent-millis", nowMillis - silence.sinceMillis())
                        .with("running", running)
                        .with("connects-failed", silence.failedConnects())
                        .warn(LOGGER);
            }
        }
    }

    /**
     * The time in which nothing was heard from a pool.
     */
    private record Silence(long sinceMillis, int failedConnects, boolean logged) {

        static Silence since(long nowMillis) {
            return new Silence(nowMillis, 0, false);
        }

        Silence withFailedConnect() {
            return new Silence(sinceMillis, failedConnects + 1, logged);
        }

        Silence asLogged() {
            return new Silence(sinceMillis, failedConnects, true);
        }
    }
}
