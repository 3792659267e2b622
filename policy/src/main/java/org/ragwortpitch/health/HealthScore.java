package org.ragwortpitch.health;

/**
 * Judges an endpoint by its answers alone: health checks may be wrong either way. After failures it is left alone for
 * a time that doubles with each further failure; then one request at a time tries it again. Confined to one thread.
 */
public final class HealthScore {

    /** The weight of a new outcome in the failure rate: about the last seven count. */
    private static final double WEIGHT = 0.25;

    /** From this failure rate on an endpoint is left alone; ordinary errors of a service stay well below it. */
    private static final double FAILING_RATE = 0.45;

    /** The first time that an endpoint is left alone, in milliseconds; an engine restarts in a few seconds. */
    private static final long FIRST_REST_MILLIS = 500;

    private static final long LONGEST_REST_MILLIS = 4_000;

    private double failureRate;
    private long restMillis;
    private long restUntilMillis;

    /**
     * Notes a good answer.
     */
    public void succeeded() {
        failureRate *= 1 - WEIGHT;
        restMillis = 0;
        restUntilMillis = 0;
    }

    /**
     * Notes a failed answer.
     *
     * @param severe whether it says that the endpoint is gone or dark, rather than that one request failed
     */
    public void failed(boolean severe, long nowMillis) {
        failureRate += WEIGHT * (1 - failureRate);
        if (severe || failureRate >= FAILING_RATE) {
            restMillis = Math.min(LONGEST_REST_MILLIS, Math.max(FIRST_REST_MILLIS, restMillis * 2));
            restUntilMillis = nowMillis + restMillis;
        }
    }

    /**
     * Notes that a request was refused before it ran: the endpoint is full, changing or leaving.
     *
     * @param pauseMillis for how long it gets no more, in milliseconds
     */
    public void refused(long pauseMillis, long nowMillis) {
        restUntilMillis = Math.max(restUntilMillis, nowMillis + pauseMillis);
    }

    /**
     * Notes that a request is sent; after a rest it is a trial, and no other is sent beside it.
     */
    public void sent(long nowMillis) {
        if (restMillis > 0) {
            restUntilMillis = nowMillis + restMillis;
        }
    }

    /**
     * Tells whether the endpoint may be used.
     */
    public boolean isUsable(long nowMillis) {
        return nowMillis >= restUntilMillis;
    }
}
