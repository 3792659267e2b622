package org.ragwortpitch.placement;

/**
 * The queue that a request may have met on an engine: what was known when it was sent, and what other daemons turn out
 * to have sent meanwhile. Gossip tells that later, so that without it a burst would look like a slow engine.
 */
public final class QueueWatch {

    private final EngineState engine;
    private final long ownTokens;
    private long peersTokens;

    QueueWatch(EngineState engine, long ownTokens, long peersTokens) {
        this.engine = engine;
        this.ownTokens = ownTokens;
        this.peersTokens = peersTokens;
    }

    void observe(long nowPeersTokens) {
        peersTokens = Math.max(peersTokens, nowPeersTokens);
    }

    /**
     * Ends the watch; later calls have no effect.
     */
    public void end() {
        engine.endWatch(this);
    }

    EngineState engine() {
        return engine;
    }

    /**
     * Returns the most prompt tokens that may have been queued before the request.
     */
    long queuedTokens() {
        return ownTokens + peersTokens;
    }
}
