package org.ragwortpitch.poison;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects poison requests by counting, for each request, the endpoint crashes it was in flight at. As long as no two
 * suspected requests run concurrently, an innocent request is cleared by its next run, while the poison request
 * crashes the endpoint again. Bounded, with eviction of the requests updated least recently; confined to one thread.
 */
public final class PoisonRequestTracker {

    /**
     * Default number of crashes at which a request is refused.
     */
    public static final int DEFAULT_REFUSAL_THRESHOLD = 2;

    /**
     * How long a suspicion lasts after its last update, in milliseconds.
     */
    public static final long RETENTION_MILLIS = 900_000;

    private static final int MAX_REQUESTS = 10_000;

    private final int refusalThreshold;

    /**
     * The suspected and refused requests, least recently updated first.
     */
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();

    /**
     * Creates an empty tracker with the default threshold.
     */
    public PoisonRequestTracker() {
        this(DEFAULT_REFUSAL_THRESHOLD);
    }

    /**
     * Creates an empty tracker.
     *
     * @param refusalThreshold the number of crashes at which a request is refused
     */
    public PoisonRequestTracker(int refusalThreshold) {
        this.refusalThreshold = refusalThreshold;
    }

    /**
     * Records that a request was in flight when an endpoint crashed.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     * @return the number of crashes that it was in flight at so far
     */
    public int crashed(Fingerprint request, long nowMillis) {
        int crashes = crashesOf(request, nowMillis) + 1;
        learn(request, crashes, nowMillis);
        return crashes;
    }

    /**
     * Merges the crash count of another daemon; the higher count wins.
     *
     * @param crashes   the number of crashes that the request was in flight at
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void learn(Fingerprint request, int crashes, long nowMillis) {
        int known = crashesOf(request, nowMillis);
        entries.remove(request);
        entries.put(request, new Entry(Math.max(known, crashes), nowMillis));
        evict(nowMillis);
    }

    /**
     * Records that a request has completed successfully, which clears it unless it is refused already.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void finished(Fingerprint request, long nowMillis) {
        if (crashesOf(request, nowMillis) < refusalThreshold) {
            entries.remove(request);
        }
    }

    /**
     * Returns whether a request is suspected, refused or neither.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public Suspicion suspicion(Fingerprint request, long nowMillis) {
        int crashes = crashesOf(request, nowMillis);
        if (crashes == 0) {
            return Suspicion.NONE;
        }
        return crashes < refusalThreshold ? Suspicion.SUSPECT : Suspicion.REFUSED;
    }

    private int crashesOf(Fingerprint request, long nowMillis) {
        Entry entry = entries.get(request);
        return entry == null || nowMillis - entry.atMillis() >= RETENTION_MILLIS ? 0 : entry.crashes();
    }

    /**
     * Removes expired entries, and the least recently updated ones beyond the limit.
     */
    private void evict(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowMillis - oldest.next().atMillis() >= RETENTION_MILLIS;
            if (!expired && entries.size() <= MAX_REQUESTS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Crash count of a suspected or refused request.
     *
     * @param crashes  the number of crashes that it was in flight at
     * @param atMillis the time of the last update, in milliseconds of the monotonic clock
     */
    private record Entry(int crashes, long atMillis) {}
}
