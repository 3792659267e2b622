package org.ragwortpitch.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortpitch.identity.AccountId;

/**
 * Serves client accounts in proportion to their weights, by the cost of their requests in tokens: start-time fair
 * queueing (Goyal, Vin and Cheng, 1996). Priorities order the requests of one account only, so that no account gains by
 * calling all its requests urgent. When the queue is full, the account that has most waiting for its weight loses its
 * last request.
 *
 * @param <T> the type of requests
 */
public final class FairQueue<T> implements RequestQueue<T> {

    /**
     * The factor that keeps fractions of weights, since tags are whole numbers.
     */
    private static final long SCALE = 1_000;

    /**
     * The bounds.
     */
    private final QueueBounds bounds;

    /**
     * The accounts that have requests waiting or were served lately.
     */
    private final Map<AccountId, Flow<T>> flows = new LinkedHashMap<>();

    /**
     * The start tag of the request served last.
     */
    private long virtualTime;

    /**
     * How many requests wait.
     */
    private int size;

    /**
     * What waits, in tokens.
     */
    private long costTokens;

    /**
     * Makes an empty queue.
     *
     * @param bounds the bounds
     */
    public FairQueue(QueueBounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public List<Waiting<T>> add(Waiting<T> request) {
        Flow<T> flow = flows.computeIfAbsent(request.account(), account -> new Flow<>());
        if (flow.waiting().size() >= bounds.maxRequestsPerAccount()) {
            return List.of(request);
        }
        if (flow.waiting().isEmpty()) {
            flow.startAt(Math.max(virtualTime, flow.finishTag()));
        }
        flow.add(request);
        size++;
        costTokens += request.costTokens();
        return size > bounds.maxRequests() ? List.of(dropFromLongest()) : List.of();
    }

    /**
     * Removes the last request of the account that has most waiting for its weight.
     *
     * @return the request
     */
    private Waiting<T> dropFromLongest() {
        Flow<T> longest = flows.values().stream()
                .filter(flow -> !flow.waiting().isEmpty())
                .max(Comparator.comparingLong(Flow::waitingCostPerWeight))
                .orElseThrow();
        Waiting<T> dropped = longest.waiting().remove(longest.waiting().size() - 1);
        forget(dropped);
        return dropped;
    }

    @Override
    public Optional<Waiting<T>> next(Predicate<T> servable) {
        List<Flow<T>> byTag = new ArrayList<>(flows.values());
        byTag.removeIf(flow -> flow.waiting().isEmpty());
        byTag.sort(Comparator.comparingLong(Flow::startTag));
        for (Flow<T> flow : byTag) {
            for (Waiting<T> request : flow.waiting()) {
                if (servable.test(request.item())) {
                    serve(flow, request);
                    return Optional.of(request);
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Takes a request out and moves its account's tag on.
     *
     * @param flow    the account's requests
     * @param request the request
     */
    private void serve(Flow<T> flow, Waiting<T> request) {
        flow.waiting().remove(request);
        forget(request);
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.startAt(flow.startTag() + Math.max(1, request.costTokens()) * SCALE / Math.max(1, request.weight()));
        flows.values().removeIf(idle -> idle.waiting().isEmpty() && idle.finishTag() <= virtualTime);
    }

    @Override
    public List<Waiting<T>> expire(long nowMillis) {
        List<Waiting<T>> expired = new ArrayList<>();
        for (Flow<T> flow : flows.values()) {
            Iterator<Waiting<T>> requests = flow.waiting().iterator();
            while (requests.hasNext()) {
                Waiting<T> request = requests.next();
                if (nowMillis >= request.deadlineMillis()) {
                    requests.remove();
                    forget(request);
                    expired.add(request);
                }
            }
        }
        return expired;
    }

    @Override
    public boolean remove(T item) {
        for (Flow<T> flow : flows.values()) {
            for (Waiting<T> request : flow.waiting()) {
                if (request.item().equals(item)) {
                    flow.waiting().remove(request);
                    forget(request);
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Takes a removed request out of the sums.
     *
     * @param request the request
     */
    private void forget(Waiting<T> request) {
        size--;
        costTokens -= request.costTokens();
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public long costTokens() {
        return costTokens;
    }
}
