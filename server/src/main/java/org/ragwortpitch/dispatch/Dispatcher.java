package org.ragwortpitch.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.configuration.Configuration;
import org.ragwortpitch.configuration.EndpointRule;
import org.ragwortpitch.configuration.Supply;
import org.ragwortpitch.control.Clocks;
import org.ragwortpitch.endpoint.CacheEvent;
import org.ragwortpitch.endpoint.LoadReport;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.queue.FairQueue;
import org.ragwortpitch.queue.QueueBounds;
import org.ragwortpitch.queue.QueuedRequest;
import org.ragwortpitch.queue.RequestQueue;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.RefusedException;
import org.ragwortpitch.routing.EndpointCandidate;
import org.ragwortpitch.routing.EndpointChooser;
import org.ragwortpitch.routing.PrefixBlockIndex;
import org.ragwortpitch.routing.RequestCost;

/**
 * Assigns queued requests to endpoints, in the order of a fair queue for each pool and within each endpoint's
 * concurrency limit. Thread-safe.
 */
public final class Dispatcher {

    /**
     * The maximum number of prefix blocks tracked for each endpoint.
     */
    private static final int MAX_PREFIX_BLOCKS = 2_000;

    /**
     * When a refused caller should retry, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Clocks clocks;

    private final QueueBounds bounds;

    /**
     * Chooses among the endpoints with free slots.
     */
    private final EndpointChooser chooser;

    /**
     * The estimated prefix caches of the endpoints.
     */
    private final PrefixBlockIndex prefixBlocks = new PrefixBlockIndex(MAX_PREFIX_BLOCKS);

    private final Map<EndpointId, EndpointTracker> trackers = new HashMap<>();

    private final Map<PoolId, RequestQueue<DispatchRequest>> queues = new HashMap<>();

    private Configuration configuration = Configuration.EMPTY;

    /**
     * The endpoints that an order, such as a change of role, may be in progress at; they get no new requests.
     */
    private Set<EndpointId> endpointsWithOpenOrder = Set.of();

    /**
     * The endpoints that the platform has announced to reclaim; they get no new requests.
     */
    private Set<EndpointId> reclaimed = Set.of();

    /**
     * The number of daemons that share the endpoints.
     */
    private int daemons = 1;

    /**
     * Creates a dispatcher without endpoints.
     *
     * @param clocks  the clocks
     * @param bounds  the bounds of each pool's queue
     * @param chooser chooses among the endpoints with free slots
     */
    public Dispatcher(Clocks clocks, QueueBounds bounds, EndpointChooser chooser) {
        this.clocks = clocks;
        this.bounds = bounds;
        this.chooser = chooser;
    }

    /**
     * Applies the rules and the number of daemons. The tracker of a removed endpoint is kept while this daemon has
     * requests in progress there.
     *
     * @param rules    the rules in force
     * @param members  the number of daemons that share the endpoints
     * @param underWay the endpoints that an order may be in progress at
     */
    public synchronized void follow(Configuration rules, int members, Set<EndpointId> underWay) {
        daemons = Math.max(1, members);
        endpointsWithOpenOrder = underWay;
        if (rules == configuration) {
            return;
        }
        configuration = rules;
        Set<EndpointId> known = new HashSet<>();
        for (EndpointRule rule : rules.endpoints()) {
            known.add(rule.id());
            trackers.computeIfAbsent(rule.id(), id -> new EndpointTracker(rule)).updateRule(rule);
        }
        trackers.values().removeIf(tracker -> !known.contains(tracker.rule().id()) && tracker.ownRequests() == 0);
        rules.pools().forEach(pool -> dispatchQueued(pool.id()));
    }

    /**
     * Replaces the set of endpoints that the platform has announced to reclaim.
     */
    public synchronized void reclaimed(Set<EndpointId> endpoints) {
        reclaimed = Set.copyOf(endpoints);
    }

    /**
     * Queues a request for an endpoint. Its outcome is delivered through {@link DispatchRequest#slot}: a slot, or a
     * refusal if the pool has no endpoints, the queue is full or the deadline passes.
     */
    public synchronized void submit(DispatchRequest request) {
        if (configuration.endpointsOf(request.pool().id()).isEmpty()) {
            request.slot()
                    .completeExceptionally(RefusedException.notRunRetryAfter(
                            ErrorKind.UNAVAILABLE,
                            RETRY_AFTER_MILLIS,
                            "no endpoints are configured for pool "
                                    + request.pool().id() + ": try again later"));
            return;
        }
        RequestQueue<DispatchRequest> queue =
                queues.computeIfAbsent(request.pool().id(), id -> new FairQueue<>(bounds));
        long cost = request.demand().promptTokens() + request.demand().outputTokens();
        QueuedRequest<DispatchRequest> queued = new QueuedRequest<>(
                request, request.account(), request.weight(), cost, request.priority(), request.deadlineMillis());
        for (QueuedRequest<DispatchRequest> refused : queue.add(queued)) {
            refused.item()
                    .slot()
                    .completeExceptionally(RefusedException.notRunRetryAfter(
                            ErrorKind.UNAVAILABLE,
                            RETRY_AFTER_MILLIS,
                            "the queue is full for pool " + request.pool().id() + ": try again later"));
        }
        dispatchQueued(request.pool().id());
    }

    /**
     * Removes a request from its queue; does nothing if it is no longer queued.
     */
    public synchronized void withdraw(DispatchRequest request) {
        RequestQueue<DispatchRequest> queue = queues.get(request.pool().id());
        if (queue != null) {
            queue.remove(request);
        }
    }

    /**
     * Refuses the queued requests whose deadline has passed, and dispatches those that an endpoint has a free slot for,
     * which includes endpoints whose backoff has ended.
     */
    public synchronized void tick() {
        long nowMillis = clocks.nowMillis();
        for (Map.Entry<PoolId, RequestQueue<DispatchRequest>> entry : queues.entrySet()) {
            entry.getValue().expire(nowMillis).forEach(expired -> expired.item()
                    .slot()
                    .completeExceptionally(RefusedException.notRunRetryAfter(
                            ErrorKind.TIMED_OUT,
                            RETRY_AFTER_MILLIS,
                            "the deadline passed while the request was queued for pool " + entry.getKey())));
            dispatchQueued(entry.getKey());
        }
    }

    /**
     * Dispatches the queued requests of a pool as long as endpoints have free slots.
     */
    private void dispatchQueued(PoolId pool) {
        RequestQueue<DispatchRequest> queue = queues.get(pool);
        if (queue == null) {
            return;
        }
        long nowMillis = clocks.nowMillis();
        Optional<QueuedRequest<DispatchRequest>> next =
                queue.next(request -> !candidates(request, nowMillis).isEmpty());
        while (next.isPresent()) {
            assignEndpoint(next.get().item(), nowMillis);
            next = queue.next(request -> !candidates(request, nowMillis).isEmpty());
        }
    }

    /**
     * Assigns an endpoint to a request. If its slot was already completed, because the caller has gone, the endpoint's
     * slot is freed at once.
     *
     * @param nowMillis the time of the monotonic clock
     */
    private void assignEndpoint(DispatchRequest request, long nowMillis) {
        EndpointCandidate chosen =
                chooser.choose(request.demand(), candidates(request, nowMillis)).orElseThrow();
        EndpointTracker tracker = trackers.get(chosen.id());
        Slot slot = new Slot(this, tracker.rule(), request.demand(), request.suspect());
        tracker.requestStarted(request.demand().promptTokens(), request.suspect());
        prefixBlocks.sent(chosen.id(), request.demand().prefixBlocks());
        if (!request.slot().complete(slot)) {
            tracker.prefilled(request.demand().promptTokens());
            tracker.requestEnded(false, request.suspect(), nowMillis);
        }
    }

    /**
     * Returns the endpoints that could serve a request now. Those that failed it before are returned only if the rules
     * and the poison request limit allow no other, whether or not the others have free slots.
     *
     * @param nowMillis the time of the monotonic clock
     */
    private List<EndpointCandidate> candidates(DispatchRequest request, long nowMillis) {
        List<EndpointCandidate> preferred = new ArrayList<>();
        List<EndpointCandidate> avoided = new ArrayList<>();
        boolean preferredExist = false;
        for (EndpointRule rule : configuration.endpointsOf(request.pool().id())) {
            EndpointTracker tracker = trackers.get(rule.id());
            if (endpointsWithOpenOrder.contains(rule.id()) || reclaimed.contains(rule.id())) {
                continue;
            }
            boolean failedBefore = request.avoided().contains(rule.id());
            boolean allowed = (!request.firmOnly() || rule.supply() == Supply.FIRM)
                    && !(request.suspect() && tracker.hasSuspectRequest());
            preferredExist |= allowed && !failedBefore;
            if (allowed && tracker.hasFreeSlot(request.pool().concurrency(), daemons, nowMillis)) {
                long cached =
                        prefixBlocks.cachedTokens(rule.id(), request.demand().prefixBlocks());
                (failedBefore ? avoided : preferred).add(tracker.candidate(cached, nowMillis));
            }
        }
        return preferredExist ? preferred : avoided;
    }

    /**
     * Records that an endpoint has prefilled a prompt.
     */
    synchronized void prefilled(EndpointId endpoint, RequestCost demand) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.prefilled(demand.promptTokens());
        }
    }

    /**
     * Frees a slot. A failed endpoint's estimated prefix cache is cleared, since it may have crashed.
     *
     * @param failed  whether the endpoint failed the request
     * @param suspect whether the request was dispatched as a suspected poison request
     */
    synchronized void release(EndpointId endpoint, boolean failed, boolean suspect) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.requestEnded(failed, suspect, clocks.nowMillis());
            if (failed) {
                prefixBlocks.lost(endpoint);
            }
            dispatchQueued(tracker.rule().pool());
        }
    }

    /**
     * Records that a load report is being requested, so that this daemon's own requests can be subtracted from it.
     */
    public synchronized void reportRequested(EndpointId endpoint) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.reportRequested();
        }
    }

    /**
     * Applies a load report and dispatches queued requests.
     *
     * @param requestedAtMillis when the report was requested, in milliseconds of the monotonic clock
     */
    public synchronized void reported(EndpointId endpoint, LoadReport report, long requestedAtMillis) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.reported(report, requestedAtMillis);
            dispatchQueued(tracker.rule().pool());
        }
    }

    /**
     * Applies prefix cache events to the estimated cache of an endpoint.
     */
    public synchronized void cacheEvents(EndpointId endpoint, List<CacheEvent> events) {
        for (CacheEvent event : events) {
            if (event.stored()) {
                prefixBlocks.stored(endpoint, event.piece());
            } else {
                prefixBlocks.evicted(endpoint, event.piece());
            }
        }
    }

    /**
     * Returns the status of each tracked endpoint.
     */
    public synchronized List<EndpointStatus> status() {
        return trackers.values().stream()
                .map(tracker -> new EndpointStatus(tracker.rule(), tracker.ownRequests(), tracker.report()))
                .toList();
    }

    /**
     * Returns the number of queued requests in all pools.
     */
    public synchronized int queuedRequests() {
        return queues.values().stream().mapToInt(RequestQueue::size).sum();
    }
}
