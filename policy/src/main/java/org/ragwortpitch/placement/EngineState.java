package org.ragwortpitch.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.identity.InstanceId;

/**
 * Local estimate of the state of one incarnation of an engine: the load that this daemon has sent to it, the load that
 * other daemons report, its prefix cache, and its measured speed relative to the expected one. Confined to one thread.
 */
public final class EngineState {

    /** The share of the KV cache that cached prefixes may occupy; the rest is for running requests. */
    private static final double PREFIX_CACHE_SHARE = 0.8;

    /** Weight of a new sample in the moving average of the speed; about ten samples make up most of the average. */
    private static final double SLOWNESS_SAMPLE_WEIGHT = 0.15;

    /** Bounds of a single sample, so that a request delayed by a crash does not distort the average. */
    private static final double MIN_SAMPLE_RATIO = 0.4;

    private static final double MAX_SAMPLE_RATIO = 3;

    private static final double MIN_SLOWNESS = 0.5;

    private static final double MAX_SLOWNESS = 8;

    private final EngineSpec spec;
    private final PrefixCacheEstimate cache;
    private final Map<InstanceId, PeerLoad> peers = new HashMap<>();
    private Endpoint endpoint;
    private int running;
    private long kvCacheTokens;
    private long prefillTokens;
    private int peersRunning;
    private long peersKvCacheTokens;
    private long peersPrefillTokens;
    private double slowness = 1;

    /**
     * Creates the state of an engine with no load, an empty prefix cache and the expected speed.
     */
    public EngineState(Endpoint endpoint, EngineSpec spec) {
        this.endpoint = endpoint;
        this.spec = spec;
        this.cache = new PrefixCacheEstimate((long) (spec.kvCapacityTokens() * PREFIX_CACHE_SHARE));
    }

    /**
     * Updates the endpoint from a newer platform listing of the same incarnation.
     */
    public void updateEndpoint(Endpoint listed) {
        endpoint = listed;
    }

    /**
     * Adds the load of a request that this daemon starts on the engine.
     *
     * @param tokens         the KV cache tokens that the request needs until {@link #requestEnded}
     * @param uncachedTokens the prompt tokens to prefill until {@link #prefillEnded}
     */
    public void requestStarted(long tokens, long uncachedTokens) {
        running++;
        kvCacheTokens += tokens;
        prefillTokens += uncachedTokens;
    }

    /**
     * Removes the prefill load of a request whose prefill has completed, or that ended before that.
     */
    public void prefillEnded(long uncachedTokens) {
        prefillTokens -= uncachedTokens;
    }

    /**
     * Removes the load of a request that has ended.
     */
    public void requestEnded(long tokens) {
        running--;
        kvCacheTokens -= tokens;
    }

    /**
     * Replaces the load that another daemon reports; an empty load removes the daemon's entry.
     */
    public void updatePeerLoad(InstanceId peer, PeerLoad load) {
        PeerLoad before = load.running() == 0 && load.prefillTokens() == 0 ? peers.remove(peer) : peers.put(peer, load);
        PeerLoad old = before == null ? new PeerLoad(0, 0, 0) : before;
        peersRunning += load.running() - old.running();
        peersKvCacheTokens += load.kvCacheTokens() - old.kvCacheTokens();
        peersPrefillTokens += load.prefillTokens() - old.prefillTokens();
        if (load.running() == 0 && load.prefillTokens() == 0) {
            peersKvCacheTokens -= load.kvCacheTokens();
        }
    }

    /**
     * Updates the slowness from the measured time of a prefill or to the first event. Queueing behind load of other
     * daemons that this daemon has not learned of yet raises the slowness too.
     *
     * @param estimatedMillis the estimate, made with the current slowness
     */
    public void recordLatency(double actualMillis, double estimatedMillis) {
        double ratio =
                Math.max(MIN_SAMPLE_RATIO, Math.min(MAX_SAMPLE_RATIO, actualMillis / Math.max(1, estimatedMillis)));
        slowness =
                Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, slowness * (1 + SLOWNESS_SAMPLE_WEIGHT * (ratio - 1))));
    }

    /**
     * Returns the moving average of measured over expected time; 1 is the expected speed, 2 takes twice as long.
     */
    public double slowness() {
        return slowness;
    }

    /**
     * Returns the endpoint as the platform last listed it.
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the capacity of the engine.
     */
    public EngineSpec spec() {
        return spec;
    }

    /**
     * Returns the estimated content of the engine's prefix cache.
     */
    public PrefixCacheEstimate cache() {
        return cache;
    }

    /**
     * Sums up the load of this daemon and of the selected other daemons.
     *
     * @param others selects the daemons whose load is included
     */
    public PeerLoad load(Predicate<InstanceId> others) {
        int allRunning = running;
        long allKvCacheTokens = kvCacheTokens;
        long allPrefillTokens = prefillTokens;
        for (Map.Entry<InstanceId, PeerLoad> peer : peers.entrySet()) {
            if (others.test(peer.getKey())) {
                allRunning += peer.getValue().running();
                allKvCacheTokens += peer.getValue().kvCacheTokens();
                allPrefillTokens += peer.getValue().prefillTokens();
            }
        }
        return new PeerLoad(allRunning, allKvCacheTokens, allPrefillTokens);
    }

    /**
     * Returns the requests in flight of all daemons.
     */
    public int totalRunning() {
        return running + peersRunning;
    }

    /**
     * Returns the KV cache tokens that the requests of all daemons need.
     */
    public long totalKvCacheTokens() {
        return kvCacheTokens + peersKvCacheTokens;
    }

    /**
     * Returns the prompt tokens still to be prefilled for all daemons.
     */
    public long totalPrefillTokens() {
        return prefillTokens + peersPrefillTokens;
    }
}
