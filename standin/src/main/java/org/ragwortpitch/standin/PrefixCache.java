package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.endpoint.CacheEvent;
import org.ragwortpitch.endpoint.CacheEvents;

/**
 * Prefix cache of an engine stand-in with least-recently-used eviction, and a bounded log of its changes.
 */
final class PrefixCache {

    private static final int MAX_EVENTS = 1_000;

    private final int capacity;

    /**
     * Hashes of the cached prefix blocks, least recently used first.
     */
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    private final List<CacheEvent> events = new ArrayList<>();

    /**
     * The sequence number of the oldest event retained.
     */
    private long firstSequence;

    /**
     * Creates an empty cache.
     *
     * @param capacity the most prefix blocks
     */
    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Looks up a prompt's leading prefix blocks and stores those that are missing.
     *
     * @param prompt the hashes of the prompt's prefix blocks
     * @return how many leading blocks were cached
     */
    synchronized int use(List<Long> prompt) {
        int hits = 0;
        while (hits < prompt.size() && blocks.get(prompt.get(hits)) != null) {
            hits++;
        }
        for (Long block : prompt.subList(hits, prompt.size())) {
            blocks.put(block, true);
            recordEvent(new CacheEvent(block, true));
        }
        while (blocks.size() > capacity) {
            Long oldest = blocks.keySet().iterator().next();
            blocks.remove(oldest);
            recordEvent(new CacheEvent(oldest, false));
        }
        return hits;
    }

    /**
     * Returns the events from a sequence number on, or from the oldest one retained if that is later.
     */
    synchronized CacheEvents since(long fromSequence) {
        long next = firstSequence + events.size();
        int skip = (int) Math.max(0, Math.min(events.size(), fromSequence - firstSequence));
        return new CacheEvents(next, events.subList(skip, events.size()));
    }

    synchronized int size() {
        return blocks.size();
    }

    /**
     * Drops all blocks without events, as a restarted engine does.
     */
    synchronized void clear() {
        blocks.clear();
    }

    private void recordEvent(CacheEvent event) {
        events.add(event);
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
            firstSequence++;
        }
    }
}
