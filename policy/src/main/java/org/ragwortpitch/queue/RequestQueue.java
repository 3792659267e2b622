package org.ragwortpitch.queue;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded queue of requests that wait for an endpoint. Confined to one thread.
 *
 * @param <T> the type of requests
 */
public interface RequestQueue<T> {

    /**
     * Adds a request.
     *
     * @return the requests dropped to stay within the bounds, which the caller must refuse; may contain the added one
     */
    List<QueuedRequest<T>> add(QueuedRequest<T> request);

    /**
     * Removes and returns the next request to serve.
     *
     * @param servable matches the requests that can be served now
     * @return the request; empty if none can be served now
     */
    Optional<QueuedRequest<T>> next(Predicate<T> servable);

    /**
     * Removes and returns the requests whose deadline has passed.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    List<QueuedRequest<T>> expire(long nowMillis);

    /**
     * Removes a request, for example a cancelled one.
     *
     * @return whether it was queued
     */
    boolean remove(T item);

    /**
     * Returns the number of queued requests.
     */
    int size();

    /**
     * Returns the total cost of the queued requests, in tokens.
     */
    long costTokens();
}
