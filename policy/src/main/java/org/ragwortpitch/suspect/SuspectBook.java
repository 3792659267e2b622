package org.ragwortpitch.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the crashes that each request was under way at. Since no two suspects run beside each other, a bystander of
 * one crash is cleared by its next run, while the cause is caught by its own. Bounded; confined to one thread.
 */
public final class SuspectBook {

    /**
     * At how many crashes a request is refused.
     */
    public static final int REFUSED_AT = 2;

    /**
     * How long a suspicion lasts, in milliseconds.
     */
    public static final long KEPT_MILLIS = 900_000;

    /**
     * The most suspects that are remembered.
     */
    private static final int MAX_SUSPECTS = 10_000;

    /**
     * At how many crashes this book refuses.
     */
    private final int refusedAt;

    /**
     * The suspects, oldest first.
     */
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();

    /**
     * Makes an empty book that refuses at the usual count.
     */
    public SuspectBook() {
        this(REFUSED_AT);
    }

    /**
     * Makes an empty book.
     *
     * @param refusedAt at how many crashes a request is refused
     */
    public SuspectBook(int refusedAt) {
        this.refusedAt = refusedAt;
    }

    /**
     * Notes that a request was under way when an endpoint crashed.
     *
     * @param request   the request
     * @param nowMillis the present time, of the monotonic clock
     * @return the crashes that it was under way at so far
     */
    public int crashed(Fingerprint request, long nowMillis) {
        int crashes = crashesOf(request, nowMillis) + 1;
        learn(request, crashes, nowMillis);
        return crashes;
    }

    /**
     * Notes what another daemon knows.
     *
     * @param request   the request
     * @param crashes   the crashes that it was under way at
     * @param nowMillis the present time, of the monotonic clock
     */
    public void learn(Fingerprint request, int crashes, long nowMillis) {
        int known = crashesOf(request, nowMillis);
        entries.remove(request);
        entries.put(request, new Entry(Math.max(known, crashes), nowMillis));
        forget(nowMillis);
    }

    /**
     * Notes that a request has finished well, which clears it unless it is refused.
     *
     * @param request   the request
     * @param nowMillis the present time, of the monotonic clock
     */
    public void finished(Fingerprint request, long nowMillis) {
        if (crashesOf(request, nowMillis) < refusedAt) {
            entries.remove(request);
        }
    }

    /**
     * Tells what is thought of a request.
     *
     * @param request   the request
     * @param nowMillis the present time, of the monotonic clock
     * @return the suspicion
     */
    public Suspicion suspicion(Fingerprint request, long nowMillis) {
        int crashes = crashesOf(request, nowMillis);
        if (crashes == 0) {
            return Suspicion.NONE;
        }
        return crashes < refusedAt ? Suspicion.SUSPECT : Suspicion.REFUSED;
    }

    /**
     * Counts the crashes of a request.
     *
     * @param request   the request
     * @param nowMillis the present time
     * @return the count
     */
    private int crashesOf(Fingerprint request, long nowMillis) {
        Entry entry = entries.get(request);
        return entry == null || nowMillis - entry.atMillis() >= KEPT_MILLIS ? 0 : entry.crashes();
    }

    /**
     * Forgets old suspects, and the oldest if there are too many.
     *
     * @param nowMillis the present time
     */
    private void forget(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            boolean old = nowMillis - oldest.next().atMillis() >= KEPT_MILLIS;
            if (!old && entries.size() <= MAX_SUSPECTS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * What is known of a suspect.
     *
     * @param crashes  the crashes that it was under way at
     * @param atMillis when the last of them became known
     */
    private record Entry(int crashes, long atMillis) {}
}
