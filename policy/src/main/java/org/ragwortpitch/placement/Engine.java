package org.ragwortpitch.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.identity.InstanceId;

/**
 * What this daemon believes of one life of an engine: what it has sent there, what other daemons say that they have,
 * and how its speed compares with the expected one. Confined to one thread.
 */
public final class Engine {

    /** The part of the memory that kept prompts may take; the rest is for running requests. */
    private static final double KEPT_SHARE = 0.8;

    /** The weight of a new measurement of the speed; about ten measurements make up most of the estimate. */
    private static final double SPEED_WEIGHT = 0.15;

    /** Bounds of a single measurement, so that one that waited for a crash doesn't spoil the estimate. */
    private static final double LEAST_RATIO = 0.4;

    private static final double MOST_RATIO = 3;

    private static final double MIN_SLOWNESS = 0.5;

    private static final double MAX_SLOWNESS = 8;

    private final EngineSpec spec;
    private final PartCache cache;
    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();
    private Endpoint endpoint;
    private int running;
    private long heldTokens;
    private long readingTokens;
    private int peersRunning;
    private long peersHeldTokens;
    private long peersReadingTokens;
    private double slowness = 1;

    /**
     * Makes an engine of which nothing is known yet.
     */
    public Engine(Endpoint endpoint, EngineSpec spec) {
        this.endpoint = endpoint;
        this.spec = spec;
        this.cache = new PartCache((long) (spec.memoryTokens() * KEPT_SHARE));
    }

    /**
     * Notes what the platform now says of the same life of the engine.
     */
    public void listed(Endpoint listed) {
        endpoint = listed;
    }

    /**
     * Notes that a request begins there.
     */
    public void begin(long tokens, long uncachedTokens) {
        running++;
        heldTokens += tokens;
        readingTokens += uncachedTokens;
    }

    /**
     * Notes that a request's prompt was read, or that it ended before.
     */
    public void read(long uncachedTokens) {
        readingTokens -= uncachedTokens;
    }

    /**
     * Notes that a request has ended.
     */
    public void end(long tokens) {
        running--;
        heldTokens -= tokens;
    }

    /**
     * Notes what another daemon has there; an empty load removes it.
     */
    public void peer(InstanceId peer, PeerLoad load) {
        PeerLoad before = load.running() == 0 && load.readingTokens() == 0 ? peers.remove(peer) : peers.put(peer, load);
        PeerLoad old = before == null ? new PeerLoad(0, 0, 0) : before;
        peersRunning += load.running() - old.running();
        peersHeldTokens += load.heldTokens() - old.heldTokens();
        peersReadingTokens += load.readingTokens() - old.readingTokens();
        if (load.running() == 0 && load.readingTokens() == 0) {
            peersHeldTokens -= load.heldTokens();
        }
    }

    /**
     * Notes how long it took until a prompt was read or the first event came, against what was estimated with the
     * present slowness. What daemons don't know of each other's queues shows in it too.
     */
    public void measured(double actualMillis, double estimatedMillis) {
        double ratio = Math.max(LEAST_RATIO, Math.min(MOST_RATIO, actualMillis / Math.max(1, estimatedMillis)));
        slowness = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, slowness * (1 + SPEED_WEIGHT * (ratio - 1))));
    }

    /**
     * Tells how many times longer than expected the engine takes.
     */
    public double slowness() {
        return slowness;
    }

    /**
     * Tells what the platform last said of it.
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Tells what it can do.
     */
    public EngineSpec spec() {
        return spec;
    }

    /**
     * Tells what it probably keeps of prompts.
     */
    public PartCache cache() {
        return cache;
    }

    /**
     * Tells what this daemon and some of the others have there together.
     */
    public PeerLoad load(Predicate<InstanceId> others) {
        int allRunning = running;
        long allHeldTokens = heldTokens;
        long allReadingTokens = readingTokens;
        for (Map.Entry<InstanceId, PeerLoad> peer : peers.entrySet()) {
            if (others.test(peer.getKey())) {
                allRunning += peer.getValue().running();
                allHeldTokens += peer.getValue().heldTokens();
                allReadingTokens += peer.getValue().readingTokens();
            }
        }
        return new PeerLoad(allRunning, allHeldTokens, allReadingTokens);
    }

    /**
     * Tells the requests under way of all daemons.
     */
    public int totalRunning() {
        return running + peersRunning;
    }

    /**
     * Tells the memory that requests of all daemons need.
     */
    public long totalHeldTokens() {
        return heldTokens + peersHeldTokens;
    }

    /**
     * Tells the tokens that are still to be read for all daemons.
     */
    public long totalReadingTokens() {
        return readingTokens + peersReadingTokens;
    }
}
