package org.ragwortpitch.queue;

import java.util.ArrayList;
import java.util.List;

/**
 * The waiting requests of one client account.
 *
 * @param <T> the type of requests
 */
final class Flow<T> {

    /**
     * The requests, most urgent first and else in the order of their arrival.
     */
    private final List<Waiting<T>> waiting = new ArrayList<>();

    /**
     * The start tag of the next request, which is the finish tag of the last one.
     */
    private long startTag;

    /**
     * Adds a request behind those that are as urgent.
     *
     * @param request the request
     */
    void add(Waiting<T> request) {
        int place = waiting.size();
        while (place > 0 && waiting.get(place - 1).priority() > request.priority()) {
            place--;
        }
        waiting.add(place, request);
    }

    /**
     * Sets the start tag of the next request.
     *
     * @param tag the tag
     */
    void startAt(long tag) {
        startTag = tag;
    }

    /**
     * Tells the start tag of the next request.
     *
     * @return the tag
     */
    long startTag() {
        return startTag;
    }

    /**
     * Tells the finish tag of the request served last.
     *
     * @return the tag
     */
    long finishTag() {
        return startTag;
    }

    /**
     * Gives access to the requests.
     *
     * @return the requests
     */
    List<Waiting<T>> waiting() {
        return waiting;
    }

    /**
     * Tells how much waits in proportion to the weight.
     *
     * @return the cost in tokens, divided by the weight
     */
    long waitingCostPerWeight() {
        long cost = waiting.stream().mapToLong(Waiting::costTokens).sum();
        return cost / Math.max(1, waiting.get(0).weight());
    }
}
