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
public final class ArrivalQueue<T> implements RequestQueue<T> {

    private final QueueBounds bounds;

    private final List<Waiting<T>> waiting = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param bounds the bounds, of which the one per client account is ignored
     */
    public ArrivalQueue(QueueBounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public List<Waiting<T>> add(Waiting<T> request) {
        if (waiting.size() >= bounds.maxRequests()) {
            return List.of(request);
        }
        waiting.add(request);
        return List.of();
    }

    @Override
    public Optional<Waiting<T>> next(Predicate<T> servable) {
        Optional<Waiting<T>> first = waiting.stream()
                .filter(request -> servable.test(request.item()))
                .findFirst();
        first.ifPresent(waiting::remove);
        return first;
    }

    @Override
    public List<Waiting<T>> expire(long nowMillis) {
        List<Waiting<T>> expired = waiting.stream()
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
        return waiting.stream().mapToLong(Waiting::costTokens).sum();
    }
}
