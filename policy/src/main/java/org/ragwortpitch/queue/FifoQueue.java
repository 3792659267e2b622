package org.ragwortpitch.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Serves requests in the order of their arrival (FIFO); the baseline that fair queueing is compared with.
 *
 * @param <T> the type of requests
 */
public final class FifoQueue<T> implements RequestQueue<T> {

    private final QueueBounds bounds;

    private final List<QueuedRequest<T>> waiting = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param bounds the bounds, of which the one per client account is ignored
     */
    public FifoQueue(QueueBounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public List<QueuedRequest<T>> add(QueuedRequest<T> request) {
        if (waiting.size() >= bounds.maxRequests()) {
            return List.of(request);
        }
        waiting.add(request);
        return List.of();
    }

    @Override
    public Optional<QueuedRequest<T>> next(Predicate<T> servable) {
        Optional<QueuedRequest<T>> first = waiting.stream()
                .filter(request -> servable.test(request.item()))
                .findFirst();
        first.ifPresent(waiting::remove);
        return first;
    }

    @Override
    public List<QueuedRequest<T>> expire(long nowMillis) {
        List<QueuedRequest<T>> expired = waiting.stream()
                .filter(request -> nowMillis >= request.deadlineMillis())
                .toList();
        waiting.removeAll(expired);
        return expired;
    }

    @Override
    public boolean remove(T item) {
        return waiting.removeIf(request -> request.item().equals(item));
    }

    @Override
    public int size() {
        return waiting.size();
    }

    @Override
    public long costTokens() {
        return waiting.stream().mapToLong(QueuedRequest::costTokens).sum();
    }
}
