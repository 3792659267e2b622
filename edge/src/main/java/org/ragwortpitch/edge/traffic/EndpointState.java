package org.ragwortpitch.edge.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.adapter.RateLimitCodec;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.PrefixBlock;
import org.ragwortpitch.edge.peer.RepeatedMessages;
import org.ragwortpitch.health.HealthScore;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.pacing.EndpointPacer;
import org.ragwortpitch.pacing.LimitReading;
import org.ragwortpitch.placement.EngineSpeed;
import org.ragwortpitch.placement.EngineState;

/**
 * State that this daemon keeps of one incarnation of an endpoint. Confined to the traffic thread.
 */
final class EndpointState {

    private static final Logger LOGGER = System.getLogger(EndpointState.class.getName());

    /** Most prefix blocks of an endpoint in one datagram, which keeps it well below its size limit. */
    private static final int MAX_BLOCKS_PER_DATAGRAM = 64;

    /** Time after its first listing within which an engine is ordered to another role, if at all, in milliseconds. */
    static final long SETTLING_MILLIS = 1_500;

    /** An engine that refuses below this part of its slots in use isn't full: it changes role, starts or leaves. */
    private static final double LOW_OCCUPANCY_RATIO = 0.25;

    private static final int MIN_REFUSAL_STATUS = 300;

    /** Change of a figure of an engine's speed that is logged, as a ratio. */
    private static final double LOGGED_SPEED_RATIO = 1.25;

    /** Least time between two such log lines of an engine, in milliseconds. */
    private static final long SPEED_LOG_MILLIS = 5_000;

    private static final double MICROS_PER_MILLI = 1_000;

    private final RepeatedMessages<PrefixBlock> sentBlocks = new RepeatedMessages<>(MAX_BLOCKS_PER_DATAGRAM);
    private final RepeatedMessages<PrefixBlock> blocksSentInDomain = new RepeatedMessages<>(MAX_BLOCKS_PER_DATAGRAM);
    private final HealthScore health = new HealthScore();
    private EngineState engine;
    private final EndpointPacer pacer;
    private Endpoint endpoint;
    private final long listedMillis;
    private long avoidUntilMillis;
    private long announceRefusalUntilMillis;
    private int running;
    private long lastActivityMillis;
    private EngineSpeed loggedSpeed = EngineSpeed.NOMINAL;
    private long speedLoggedMillis;
    private boolean speedFaultLogged;

    EndpointState(Endpoint endpoint, Optional<EngineSpec> spec, long nowMillis) {
        this.listedMillis = nowMillis;
        this.speedLoggedMillis = nowMillis - SPEED_LOG_MILLIS;
        this.endpoint = endpoint;
        this.pacer = new EndpointPacer(endpoint.id());
        configure(spec);
    }

    /**
     * Applies what the configuration says of the endpoint's pool, which may be newer than the endpoint. Requests in
     * progress end at the engine state that they began with, so one of a pool without engines is kept.
     */
    void configure(Optional<EngineSpec> spec) {
        spec.filter(known -> engine == null || !engine.spec().equals(known))
                .ifPresent(known -> engine = new EngineState(endpoint, known));
    }

    void updateEndpoint(Endpoint listed) {
        endpoint = listed;
        if (engine != null) {
            engine.updateEndpoint(listed);
        }
    }

    /**
     * Records the rate limit that the endpoint states in a response, or that it states none any more. A refusal without
     * a limit doesn't end an earlier one.
     *
     * @param sentMillis when the request was sent, in milliseconds of the monotonic clock
     */
    void recordStatedLimit(int status, HttpHeaders headers, long sentMillis, long nowMillis) {
        OptionalDouble limit = RateLimitCodec.perSecond(headers.get(Headers.RATE_LIMIT));
        if (limit.isPresent() || status < MIN_REFUSAL_STATUS) {
            logLimit(pacer.responded(limit, sentMillis, nowMillis), "endpoint");
        }
    }

    /**
     * Learns the rate limit that the endpoint has stated to another daemon.
     *
     * @param direct whether that daemon gossips directly with this one
     */
    void learnLimit(LimitReading reading, boolean direct) {
        logLimit(direct ? pacer.learnFromDirectPeer(reading) : pacer.learn(reading), "peer");
    }

    private void logLimit(boolean changed, String source) {
        if (changed) {
            Event.of("endpoint-limit")
                    .with("endpoint", endpoint.id())
                    .with(
                            "per-second",
                            pacer.limit().isPresent() ? pacer.limit().getAsDouble() : "-")
                    .with("source", source)
                    .info(LOGGER);
        }
    }

    /**
     * Returns the pacer of requests to this endpoint.
     */
    EndpointPacer pacer() {
        return pacer;
    }

    /**
     * Excludes the endpoint from selection until a time on the monotonic clock.
     */
    void avoidUntil(long untilMillis) {
        avoidUntilMillis = untilMillis;
    }

    boolean isAvoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Gives the endpoint no further requests of this daemon for a while, as it did not answer one.
     */
    void pause(long pauseMillis, long nowMillis) {
        health.refused(pauseMillis, nowMillis);
    }

    /**
     * Records that the endpoint refused a request before it executed it.
     *
     * @param pauseMillis how long the endpoint gets no further requests, in milliseconds
     */
    void recordRefusal(long pauseMillis, long nowMillis) {
        health.refused(pauseMillis, nowMillis);
        if (engine != null
                && engine.totalRunning() < LOW_OCCUPANCY_RATIO * engine.spec().slots()) {
            announceRefusalUntilMillis = nowMillis + pauseMillis;
        }
    }

    /**
     * Returns whether gossip announces that the endpoint refuses, so that other daemons avoid it without a try.
     */
    boolean isRefusalAnnounced(long nowMillis) {
        return nowMillis < announceRefusalUntilMillis;
    }

    /**
     * Returns whether the endpoint was listed a short time ago as a decode engine, whose role may change at once.
     */
    boolean isSettling(long nowMillis) {
        return endpoint.role() == EndpointRole.DECODE && nowMillis - listedMillis < SETTLING_MILLIS;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    HealthScore health() {
        return health;
    }

    /**
     * Returns the engine; null for plain services.
     */
    EngineState engine() {
        return engine;
    }

    /**
     * Logs the engine's learned speed if it has moved much since it was last logged.
     */
    void logSpeed(long nowMillis) {
        EngineSpeed speed = engine.speed();
        if (speed.differsFrom(loggedSpeed, LOGGED_SPEED_RATIO) && nowMillis - speedLoggedMillis >= SPEED_LOG_MILLIS) {
            loggedSpeed = speed;
            speedLoggedMillis = nowMillis;
            Event.of("engine-speed")
                    .with("endpoint", endpoint.id())
                    .with("prefill-tokens-per-milli", (long) speed.prefillTokensPerMilli())
                    .with("setup-millis", (long) speed.setupMillis())
                    .with("first-event-millis", (long) speed.firstEventMillis())
                    .with("step-micros", (long) (speed.stepMillis() * MICROS_PER_MILLI))
                    .info(LOGGER);
        }
    }

    /**
     * Logs, once for each incarnation, that a daemon has reported figures that can't be used.
     */
    void logSpeedFault(EngineSpeed reported, String source, long ageMillis) {
        if (!speedFaultLogged) {
            speedFaultLogged = true;
            Event.of("engine-speed-unusable")
                    .with("endpoint", endpoint.id())
                    .with("source", source)
                    .with("age-millis", ageMillis)
                    .with("reported", reported)
                    .info(LOGGER);
        }
    }

    /**
     * Records that this daemon sent a prompt to the engine.
     */
    void recordSentBlocks(List<PrefixBlock> blocks) {
        engine.cache().sent(blocks);
        blocks.forEach(sentBlocks::add);
        blocks.forEach(blocksSentInDomain::add);
    }

    /**
     * Returns the prefix blocks that this daemon sent there recently, for the next datagram to other daemons.
     *
     * @param times how many datagrams repeat each block
     */
    List<PrefixBlock> nextSentBlocks(int times) {
        return sentBlocks.nextBatch(times);
    }

    /**
     * Records that a daemon which gossips directly with this one sent a prompt to the engine.
     */
    void recordBlocksSentByDirectPeer(List<PrefixBlock> blocks) {
        engine.cache().sent(blocks);
        blocks.forEach(blocksSentInDomain::add);
    }

    /**
     * Returns the prefix blocks that the daemons of this failure domain sent there recently.
     *
     * @param times how many datagrams repeat each block
     */
    List<PrefixBlock> nextBlocksSentInDomain(int times) {
        return blocksSentInDomain.nextBatch(times);
    }

    int running() {
        return running;
    }

    /**
     * Records that data arrived from the endpoint.
     */
    void recordActivity(long nowMillis) {
        lastActivityMillis = nowMillis;
    }

    long lastActivityMillis() {
        return lastActivityMillis;
    }

    void beginRequest() {
        running++;
    }

    void endRequest() {
        running--;
    }
}
