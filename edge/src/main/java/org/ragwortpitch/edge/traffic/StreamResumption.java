package org.ragwortpitch.edge.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.identity.SoftwareVersion;
import org.ragwortpitch.resumption.StreamId;
import org.ragwortpitch.resumption.StreamOrigin;

/**
 * Keeps the stream of one request at the software version that began it, be it here or in an earlier attempt of the
 * caller at any daemon. Confined to the traffic thread.
 */
final class StreamResumption {

    /**
     * How long a request waits to learn where its stream began, in milliseconds: gossip of it may be on its way, and
     * the endpoints' list is read anew.
     */
    private static final long MAX_WAIT_MILLIS = 300;

    private static final long POLL_MILLIS = 25;

    private final TrafficContext context;
    private final Exchange exchange;
    private final PoolId pool;
    private final Optional<StreamId> takenUp;
    private final boolean takesUp;
    private Optional<SoftwareVersion> version = Optional.empty();

    /**
     * Creates the resumption of a request.
     *
     * @param afterEvent the last event of the stream that the caller has; {@link StreamEvent#NO_ID} if none
     */
    StreamResumption(TrafficContext context, Exchange exchange, PoolId pool, long afterEvent) {
        this.context = context;
        this.exchange = exchange;
        this.pool = pool;
        this.takesUp = afterEvent != StreamEvent.NO_ID;
        this.takenUp = Optional.ofNullable(exchange.request().headers().get(Headers.RESUMED_ATTEMPT))
                .filter(attempt -> takesUp)
                .map(StreamId::of);
    }

    /**
     * Returns the version at which the stream has to go on; empty if it may begin at any.
     */
    Optional<SoftwareVersion> version() {
        return version;
    }

    /**
     * Finds the version that began the stream, if the request takes one up.
     *
     * @param onReady   called once it is known, or at once if the request takes up no stream
     * @param onUnknown called with the reason if it cannot be known
     */
    void resolve(Runnable onReady, Consumer<String> onUnknown) {
        version = exchange.hop().flatMap(ProxyHop::streamVersion);
        if (takesUp && version.isEmpty()) {
            resolveUntil(now() + MAX_WAIT_MILLIS, onReady, onUnknown);
        } else {
            onReady.run();
        }
    }

    private void resolveUntil(long untilMillis, Runnable onReady, Consumer<String> onUnknown) {
        if (exchange.isDone()) {
            return;
        }
        long now = now();
        long arrivedMillis = exchange.request().arrivedMillis();
        version = takenUp.flatMap(stream -> context.origins().versionOf(stream, now))
                .or(() -> context.endpoints().versions().only(pool, arrivedMillis, now));
        boolean awaitsReading = context.endpoints().versions().awaitReading(pool, arrivedMillis, now);
        if (version.isPresent()) {
            onReady.run();
        } else if ((takenUp.isPresent() || awaitsReading) && now < untilMillis) {
            if (awaitsReading) {
                context.readEndpointsSoon().run();
            }
            context.loop()
                    .schedule(() -> resolveUntil(untilMillis, onReady, onUnknown), POLL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            onUnknown.accept("no daemon in reach knows which software version began the stream, and its engines may"
                    + " have several: begin the stream anew");
        }
    }

    /**
     * Records the version of the engine that sends the first event of the response, for later attempts of the caller.
     */
    void recordBegun(SoftwareVersion begunAt) {
        version = Optional.of(begunAt);
        long now = now();
        context.origins()
                .began(new StreamOrigin(
                        takenUp.orElseGet(() -> StreamId.of(exchange.attemptId())),
                        begunAt,
                        now,
                        exchange.callerDeadlineMillis()));
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }
}
