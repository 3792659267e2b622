package org.ragwortpitch.queue;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Waiting requests. Confined to one thread.
 *
 * @param <T> the type of requests
 */
public interface RequestQueue<T> {

    /**
     * Adds a request.
     *
     * @param request the request
     * @return the requests that must be refused to keep the bounds, the added one perhaps among them
     */
    List<Waiting<T>> add(Waiting<T> request);

    /**
     * Takes the next request to serve.
     *
     * @param servable tells whether a request can be served now
     * @return the request, if any can be served
     */
    Optional<Waiting<T>> next(Predicate<T> servable);

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowMillis the present time, of the monotonic clock
     * @return the requests
     */
    List<Waiting<T>> expire(long nowMillis);

    /**
     * Removes a request that is no longer wanted.
     *
     * @param item the request
     * @return whether it was there
     */
    boolean remove(T item);

    /**
     * Counts the requests.
     *
     * @return the count
     */
    int size();

    /**
     * Adds up what waits.
     *
     * @return the cost, in tokens
     */
    long costTokens();
}
