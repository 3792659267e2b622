package org.ragwortpitch.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortpitch.deployment.Endpoint;
import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.identity.InstanceId;

/**
 * Local estimate of the state of one incarnation of an engine: the load that this daemon has sent to it, the load that
 * other daemons report, its prefix cache, and its measured speed. Confined to one thread.
 */
public final class EngineState {

    /** The share of the KV cache that cached prefixes may occupy; the rest is for running requests. */
    private static final double PREFIX_CACHE_SHARE = 0.8;

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
    private final EngineMeasurements measurements = new EngineMeasurements();
    private final List<QueueWatch> watches = new ArrayList<>();
    private EngineSpeed speed = EngineSpeed.NOMINAL;
    private EngineSpeed poolSpeed = EngineSpeed.NOMINAL;

    /**
     * Creates the state of an engine with no load, an empty prefix cache and the nominal speed.
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
        watches.forEach(watch -> watch.observe(peersPrefillTokens));
    }

    /**
     * Begins to watch the queue before a request that is about to be sent, until {@link QueueWatch#end}.
     */
    public QueueWatch watchQueue() {
        QueueWatch watch = new QueueWatch(this, prefillTokens, peersPrefillTokens);
        watches.add(watch);
        return watch;
    }

    void endWatch(QueueWatch watch) {
        watches.remove(watch);
    }

    /**
     * Returns the samples of the engine's speed.
     */
    EngineMeasurements measurements() {
        return measurements;
    }

    /**
     * Sets what the samples say at present.
     */
    void updateSpeed(EngineSpeed measured, EngineSpeed ofPool) {
        speed = measured;
        poolSpeed = ofPool;
    }

    /**
     * Returns the engine's measured speed; that of its pool as far as it was not measured.
     */
    public EngineSpeed speed() {
        return speed;
    }

    /**
     * Returns the engine's time for a typical prefill over that of its pool; 2 takes twice as long.
     */
    public double slowness() {
        return speed.prefillTimeRelativeTo(poolSpeed);
    }

    /**
     * Returns what this daemon has measured of the engine lately; empty if nothing.
     */
    public Optional<SpeedReport> ownSpeedReport(long nowMillis) {
        return measurements.ownReport(nowMillis);
    }

    /**
     * Returns what this daemon and others have measured of the engine lately; empty if nothing.
     *
     * @param others selects the daemons that are included
     */
    public Optional<SpeedReport> speedReport(Predicate<InstanceId> others, long nowMillis) {
        return measurements.report(others, nowMillis);
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
