package org.ragwortpitch.health;

/**
 * Passive health check of an endpoint, from its responses alone, since active health checks may be wrong either way.
 * Failures eject the endpoint for a backoff that doubles with each further failure; after that, one request at a time
 * probes it. Confined to one thread.
 */
public final class HealthScore {

    /** Weight of a new outcome in the moving average of the failure rate; about the last seven outcomes count. */
    private static final double OUTCOME_WEIGHT = 0.25;

    /** Failure rate from which an endpoint is ejected; ordinary errors of a service stay well below it. */
    private static final double EJECTION_FAILURE_RATE = 0.45;

    /** The first backoff, in milliseconds; an engine restarts in a few seconds. */
    private static final long MIN_BACKOFF_MILLIS = 500;

    private static final long MAX_BACKOFF_MILLIS = 4_000;

    private double failureRate;
    private long backoffMillis;
    private long unusableUntilMillis;

    /**
     * Records a successful response, which lowers the failure rate and ends the backoff.
     */
    public void succeeded() {
        failureRate *= 1 - OUTCOME_WEIGHT;
        backoffMillis = 0;
        unusableUntilMillis = 0;
    }

    /**
     * Forgets all failures, as they were not the endpoint's.
     */
    public void forget() {
        failureRate = 0;
        backoffMillis = 0;
        unusableUntilMillis = 0;
    }

    /**
     * Records a failure.
     *
     * @param severe whether the endpoint is gone or unresponsive, rather than a single request failed; ejects at once
     */
    public void failed(boolean severe, long nowMillis) {
        failureRate += OUTCOME_WEIGHT * (1 - failureRate);
        if (severe || failureRate >= EJECTION_FAILURE_RATE) {
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, backoffMillis * 2));
            unusableUntilMillis = nowMillis + backoffMillis;
        }
    }

    /**
     * Records that the endpoint refused a request before running it, being full, changing its role or shutting down.
     * This is no failure: it only pauses the endpoint.
     *
     * @param pauseMillis how long the endpoint gets no further requests, in milliseconds
     */
    public void refused(long pauseMillis, long nowMillis) {
        unusableUntilMillis = Math.max(unusableUntilMillis, nowMillis + pauseMillis);
    }

    /**
     * Records that a request is sent. After a backoff the request is a probe, and no other is sent until it ends or the
     * backoff has passed again.
     */
    public void sent(long nowMillis) {
        if (backoffMillis > 0) {
            unusableUntilMillis = nowMillis + backoffMillis;
        }
    }

    /**
     * Returns whether the endpoint is neither ejected nor paused.
     */
    public boolean isUsable(long nowMillis) {
        return nowMillis >= unusableUntilMillis;
    }
}
