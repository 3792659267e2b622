package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.endpoint.CacheEvent;
import org.ragwortpitch.endpoint.CacheEvents;

/**
 * The prefix cache of an engine stand-in, which drops the piece that was used least recently.
 */
final class PrefixCache {

    /**
     * The most events that are kept.
     */
    private static final int KEPT_EVENTS = 1_000;

    /**
     * The most pieces.
     */
    private final int capacity;

    /**
     * The pieces, least recently used first.
     */
    private final Map<Long, Boolean> pieces = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * The latest events.
     */
    private final List<CacheEvent> events = new ArrayList<>();

    /**
     * The sequence of the first event that is kept.
     */
    private long firstSequence;

    /**
     * Makes an empty cache.
     *
     * @param capacity the most pieces
     */
    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Counts the leading pieces of a prompt that are there, and stores the others.
     *
     * @param prompt the prompt's pieces
     * @return how many leading pieces were there
     */
    synchronized int use(List<Long> prompt) {
        int hits = 0;
        while (hits < prompt.size() && pieces.get(prompt.get(hits)) != null) {
            hits++;
        }
        for (Long piece : prompt.subList(hits, prompt.size())) {
            pieces.put(piece, true);
            note(new CacheEvent(piece, true));
        }
        while (pieces.size() > capacity) {
            Long oldest = pieces.keySet().iterator().next();
            pieces.remove(oldest);
            note(new CacheEvent(oldest, false));
        }
        return hits;
    }

    /**
     * Tells events.
     *
     * @param fromSequence the first event wanted
     * @return the events from there, or from the first that is kept
     */
    synchronized CacheEvents since(long fromSequence) {
        long next = firstSequence + events.size();
        int skip = (int) Math.max(0, Math.min(events.size(), fromSequence - firstSequence));
        return new CacheEvents(next, events.subList(skip, events.size()));
    }

    /**
     * Counts the pieces.
     *
     * @return the count
     */
    synchronized int size() {
        return pieces.size();
    }

    /**
     * Empties the cache, as a restart does.
     */
    synchronized void clear() {
        pieces.clear();
    }

    /**
     * Notes an event.
     *
     * @param event the event
     */
    private void note(CacheEvent event) {
        events.add(event);
        if (events.size() > KEPT_EVENTS) {
            events.remove(0);
            firstSequence++;
        }
    }
}
