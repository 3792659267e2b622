package org.ragwortpitch.edge.traffic;

import java.util.List;
import java.util.Optional;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.deployment.PromptPart;
import org.ragwortpitch.edge.peer.Retold;
import org.ragwortpitch.health.HealthScore;
import org.ragwortpitch.placement.Engine;

/**
 * What this daemon knows of one life of an endpoint.
 */
final class EndpointState {

    /** Parts that are told to other daemons at once, at most; keeps a datagram well below its limit. */
    private static final int MAX_SENT_PARTS = 64;

    /** Within this time of its listing a new engine is ordered to another role if it gets one, in milliseconds. */
    static final long SETTLING_MILLIS = 1_500;

    /** Up to this part of its places taken, an engine that refuses isn't full: it changes, starts or leaves. */
    private static final double NOT_FULL_SHARE = 0.25;

    private final Retold<PromptPart> sentParts = new Retold<>(MAX_SENT_PARTS);
    private final Retold<PromptPart> domainSentParts = new Retold<>(MAX_SENT_PARTS);
    private final HealthScore health = new HealthScore();
    private final Engine engine;
    private Endpoint endpoint;
    private final long listedMillis;
    private long avoidUntilMillis;
    private long warnUntilMillis;
    private int running;
    private long heardMillis;

    EndpointState(Endpoint endpoint, Optional<EngineSpec> spec, long nowMillis) {
        this.listedMillis = nowMillis;
        this.endpoint = endpoint;
        this.engine = spec.map(known -> new Engine(endpoint, known)).orElse(null);
    }

    void listed(Endpoint listed) {
        endpoint = listed;
        if (engine != null) {
            engine.listed(listed);
        }
    }

    /**
     * Notes that it serves nothing for a while.
     */
    void avoid(long untilMillis) {
        avoidUntilMillis = untilMillis;
    }

    boolean isAvoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Notes that it refused a request before it ran.
     *
     * @param pauseMillis for how long it gets no more, in milliseconds
     */
    void refused(long pauseMillis, long nowMillis) {
        health.refused(pauseMillis, nowMillis);
        if (engine != null
                && engine.totalRunning() < NOT_FULL_SHARE * engine.spec().slots()) {
            warnUntilMillis = nowMillis + pauseMillis;
        }
    }

    /**
     * Tells whether other daemons had better not find out by themselves that it refuses.
     */
    boolean isWarnedOf(long nowMillis) {
        return nowMillis < warnUntilMillis;
    }

    /**
     * Tells whether it was listed just now as one that makes tokens: its role may change at once.
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
     * Tells the engine; null for plain services.
     */
    Engine engine() {
        return engine;
    }

    /**
     * Notes that an engine gets a prompt.
     */
    void sentParts(List<PromptPart> parts) {
        engine.cache().sent(parts);
        parts.forEach(sentParts::add);
        parts.forEach(domainSentParts::add);
    }

    /**
     * Tells the parts that were sent there lately, for the next datagrams to other daemons.
     *
     * @param times how often each part is told
     */
    List<PromptPart> sentParts(int times) {
        return sentParts.next(times);
    }

    /**
     * Notes that an engine gets a prompt from another daemon that tells this one directly.
     */
    void nearSentParts(List<PromptPart> parts) {
        engine.cache().sent(parts);
        parts.forEach(domainSentParts::add);
    }

    /**
     * Tells the parts that the daemons of this failure domain sent there lately.
     *
     * @param times how often each part is told
     */
    List<PromptPart> domainSentParts(int times) {
        return domainSentParts.next(times);
    }

    int running() {
        return running;
    }

    /**
     * Notes that something came of it.
     */
    void heard(long nowMillis) {
        heardMillis = nowMillis;
    }

    long heardMillis() {
        return heardMillis;
    }

    void begin() {
        running++;
    }

    void end() {
        running--;
    }
}
