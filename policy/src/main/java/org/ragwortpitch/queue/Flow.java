package org.ragwortpitch.queue;

import java.util.ArrayList;
import java.util.List;

/**
 * The queued requests of one client account, and its position in virtual time.
 *
 * @param <T> the type of requests
 */
final class Flow<T> {

    /**
     * The requests by priority, and in the order of their arrival within a priority.
     */
    private final List<QueuedRequest<T>> waiting = new ArrayList<>();

    /**
     * The start tag of the next request, which equals the finish tag of the request served last.
     */
    private long startTag;

    /**
     * Adds a request behind those of the same or a more urgent priority.
     */
    void add(QueuedRequest<T> request) {
        int position = waiting.size();
        while (position > 0 && waiting.get(position - 1).priority() > request.priority()) {
            position--;
        }
        waiting.add(position, request);
    }

    void startAt(long tag) {
        startTag = tag;
    }

    long startTag() {
        return startTag;
    }

    /**
     * Returns the finish tag of the request served last.
     */
    long finishTag() {
        return startTag;
    }

    /**
     * Returns the live, mutable list of the requests.
     */
    List<QueuedRequest<T>> waiting() {
        return waiting;
    }

    /**
     * Returns the queued cost in tokens, divided by the account's weight. There must be a request.
     */
    long queuedCostPerWeight() {
        long cost = waiting.stream().mapToLong(QueuedRequest::costTokens).sum();
        return cost / Math.max(1, waiting.get(0).weight());
    }
}
