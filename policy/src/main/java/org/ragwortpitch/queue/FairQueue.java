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
 * queueing (Goyal, Vin and Cheng, 1996). Priorities order only the requests of one account, so that no account gains an
 * advantage by marking all its requests as urgent. When the queue is full, the account with the highest queued cost
 * relative to its weight loses its last request.
 *
 * @param <T> the type of requests
 */
public final class FairQueue<T> implements RequestQueue<T> {

    /**
     * Fixed-point factor of the virtual time, since tags are integers and the cost is divided by the weight.
     */
    private static final long TAG_SCALE = 1_000;

    private final QueueBounds bounds;

    /**
     * The accounts with queued requests, and idle ones whose finish tag is still ahead of the virtual time.
     */
    private final Map<AccountId, Flow<T>> flows = new LinkedHashMap<>();

    /**
     * The highest start tag of the requests served so far.
     */
    private long virtualTime;

    private int requestCount;

    private long costTokens;

    /**
     * Creates an empty queue.
     */
    public FairQueue(QueueBounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public List<QueuedRequest<T>> add(QueuedRequest<T> request) {
        Flow<T> flow = flows.computeIfAbsent(request.account(), account -> new Flow<>());
        if (flow.waiting().size() >= bounds.maxRequestsPerAccount()) {
            return List.of(request);
        }
        if (flow.waiting().isEmpty()) {
            flow.startAt(Math.max(virtualTime, flow.finishTag()));
        }
        flow.add(request);
        requestCount++;
        costTokens += request.costTokens();
        return requestCount > bounds.maxRequests() ? List.of(dropFromMostBackloggedFlow()) : List.of();
    }

    private QueuedRequest<T> dropFromMostBackloggedFlow() {
        Flow<T> mostBacklogged = flows.values().stream()
                .filter(flow -> !flow.waiting().isEmpty())
                .max(Comparator.comparingLong(Flow::queuedCostPerWeight))
                .orElseThrow();
        QueuedRequest<T> dropped =
                mostBacklogged.waiting().remove(mostBacklogged.waiting().size() - 1);
        subtract(dropped);
        return dropped;
    }

    @Override
    public Optional<QueuedRequest<T>> next(Predicate<T> servable) {
        List<Flow<T>> byTag = new ArrayList<>(flows.values());
        byTag.removeIf(flow -> flow.waiting().isEmpty());
        byTag.sort(Comparator.comparingLong(Flow::startTag));
        for (Flow<T> flow : byTag) {
            for (QueuedRequest<T> request : flow.waiting()) {
                if (servable.test(request.item())) {
                    serve(flow, request);
                    return Optional.of(request);
                }
            }
        }
        return Optional.empty();
    }

    private void serve(Flow<T> flow, QueuedRequest<T> request) {
        flow.waiting().remove(request);
        subtract(request);
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.startAt(flow.startTag() + Math.max(1, request.costTokens()) * TAG_SCALE / Math.max(1, request.weight()));
        flows.values().removeIf(idle -> idle.waiting().isEmpty() && idle.finishTag() <= virtualTime);
    }

    @Override
    public List<QueuedRequest<T>> expire(long nowMillis) {
        List<QueuedRequest<T>> expired = new ArrayList<>();
        for (Flow<T> flow : flows.values()) {
            Iterator<QueuedRequest<T>> requests = flow.waiting().iterator();
            while (requests.hasNext()) {
                QueuedRequest<T> request = requests.next();
                if (nowMillis >= request.deadlineMillis()) {
                    requests.remove();
                    subtract(request);
                    expired.add(request);
                }
            }
        }
        return expired;
    }

    @Override
    public boolean remove(T item) {
        for (Flow<T> flow : flows.values()) {
            for (QueuedRequest<T> request : flow.waiting()) {
                if (request.item().equals(item)) {
                    flow.waiting().remove(request);
                    subtract(request);
                    return true;
                }
            }
        }
        return false;
    }

    private void subtract(QueuedRequest<T> request) {
        requestCount--;
        costTokens -= request.costTokens();
    }

    @Override
    public int size() {
        return requestCount;
    }

    @Override
    public long costTokens() {
        return costTokens;
    }
}
