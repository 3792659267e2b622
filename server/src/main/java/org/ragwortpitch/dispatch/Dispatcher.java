package org.ragwortpitch.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.RefusedException;
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
import org.ragwortpitch.queue.RequestQueue;
import org.ragwortpitch.queue.Waiting;
import org.ragwortpitch.routing.Demand;
import org.ragwortpitch.routing.EndpointChooser;
import org.ragwortpitch.routing.EndpointState;
import org.ragwortpitch.routing.PieceIndex;

/**
 * Gives requests endpoints, in turn and as many at once as the endpoints take. Safe for use by many threads.
 */
public final class Dispatcher {

    /**
     * The most pieces remembered of each endpoint's prefix cache.
     */
    private static final int MAX_PIECES = 2_000;

    /**
     * When to try again after the queue was full, in milliseconds.
     */
    private static final long FULL_RETRY_MILLIS = 1_000;

    /**
     * The clocks.
     */
    private final Clocks clocks;

    /**
     * The bounds of each pool's queue.
     */
    private final QueueBounds bounds;

    /**
     * Chooses among endpoints with room.
     */
    private final EndpointChooser chooser;

    /**
     * What each endpoint is believed to have cached.
     */
    private final PieceIndex pieces = new PieceIndex(MAX_PIECES);

    /**
     * The endpoints.
     */
    private final Map<EndpointId, EndpointTracker> trackers = new HashMap<>();

    /**
     * The waiting requests of each pool.
     */
    private final Map<PoolId, RequestQueue<DispatchRequest>> queues = new HashMap<>();

    /**
     * The rules in force.
     */
    private Configuration configuration = Configuration.EMPTY;

    /**
     * The endpoints that an order may be under way to, which get no new requests.
     */
    private Set<EndpointId> ordered = Set.of();

    /**
     * The endpoints that the platform takes back, which get no new requests either.
     */
    private Set<EndpointId> reclaimed = Set.of();

    /**
     * How many daemons share the endpoints.
     */
    private int daemons = 1;

    /**
     * Makes a dispatcher without endpoints.
     *
     * @param clocks  the clocks
     * @param bounds  the bounds of each pool's queue
     * @param chooser chooses among endpoints with room
     */
    public Dispatcher(Clocks clocks, QueueBounds bounds, EndpointChooser chooser) {
        this.clocks = clocks;
        this.bounds = bounds;
        this.chooser = chooser;
    }

    /**
     * Takes the rules and the number of daemons.
     *
     * @param rules     the rules in force
     * @param members   how many daemons share the endpoints
     * @param underWay  the endpoints that an order may be under way to
     */
    public synchronized void follow(Configuration rules, int members, Set<EndpointId> underWay) {
        daemons = Math.max(1, members);
        ordered = underWay;
        if (rules == configuration) {
            return;
        }
        configuration = rules;
        Set<EndpointId> known = new HashSet<>();
        for (EndpointRule rule : rules.endpoints()) {
            known.add(rule.id());
            trackers.computeIfAbsent(rule.id(), id -> new EndpointTracker(rule)).follow(rule);
        }
        trackers.values().removeIf(tracker -> !known.contains(tracker.rule().id()) && tracker.ownRequests() == 0);
        rules.pools().forEach(pool -> pump(pool.id()));
    }

    /**
     * Takes the endpoints that the platform takes back.
     *
     * @param endpoints the endpoints
     */
    public synchronized void reclaimed(Set<EndpointId> endpoints) {
        reclaimed = Set.copyOf(endpoints);
    }

    /**
     * Asks for an endpoint. The request waits in turn; its slot comes through {@link DispatchRequest#slot}.
     *
     * @param request the request
     */
    public synchronized void ask(DispatchRequest request) {
        if (configuration.endpointsOf(request.pool().id()).isEmpty()) {
            request.slot()
                    .completeExceptionally(RefusedException.notRunRetryAfter(
                            ErrorKind.UNAVAILABLE,
                            FULL_RETRY_MILLIS,
                            "the pool " + request.pool().id() + " has no endpoints: try again later"));
            return;
        }
        RequestQueue<DispatchRequest> queue =
                queues.computeIfAbsent(request.pool().id(), id -> new FairQueue<>(bounds));
        long cost = request.demand().promptTokens() + request.demand().outputTokens();
        Waiting<DispatchRequest> waiting = new Waiting<>(
                request, request.account(), request.weight(), cost, request.priority(), request.deadlineMillis());
        for (Waiting<DispatchRequest> refused : queue.add(waiting)) {
            refused.item()
                    .slot()
                    .completeExceptionally(RefusedException.notRunRetryAfter(
                            ErrorKind.UNAVAILABLE,
                            FULL_RETRY_MILLIS,
                            "too many requests wait for " + request.pool().id() + ": try again later"));
        }
        pump(request.pool().id());
    }

    /**
     * Withdraws a request that waits.
     *
     * @param request the request
     */
    public synchronized void withdraw(DispatchRequest request) {
        RequestQueue<DispatchRequest> queue = queues.get(request.pool().id());
        if (queue != null) {
            queue.remove(request);
        }
    }

    /**
     * Refuses requests whose deadline has passed, and serves those for which there is room again.
     */
    public synchronized void tick() {
        long nowMillis = clocks.nowMillis();
        for (Map.Entry<PoolId, RequestQueue<DispatchRequest>> entry : queues.entrySet()) {
            entry.getValue().expire(nowMillis).forEach(expired -> expired.item()
                    .slot()
                    .completeExceptionally(RefusedException.notRunRetryAfter(
                            ErrorKind.TIMED_OUT,
                            FULL_RETRY_MILLIS,
                            "the deadline passed while the request waited for " + entry.getKey())));
            pump(entry.getKey());
        }
    }

    /**
     * Serves the waiting requests of a pool as long as there is room.
     *
     * @param pool the pool
     */
    private void pump(PoolId pool) {
        RequestQueue<DispatchRequest> queue = queues.get(pool);
        if (queue == null) {
            return;
        }
        long nowMillis = clocks.nowMillis();
        Optional<Waiting<DispatchRequest>> next =
                queue.next(request -> !candidates(request, nowMillis).isEmpty());
        while (next.isPresent()) {
            serve(next.get().item(), nowMillis);
            next = queue.next(request -> !candidates(request, nowMillis).isEmpty());
        }
    }

    /**
     * Gives a request an endpoint.
     *
     * @param request   the request
     * @param nowMillis the present time, of the monotonic clock
     */
    private void serve(DispatchRequest request, long nowMillis) {
        EndpointState chosen =
                chooser.choose(request.demand(), candidates(request, nowMillis)).orElseThrow();
        EndpointTracker tracker = trackers.get(chosen.id());
        Slot slot = new Slot(this, tracker.rule(), request.demand(), request.suspect());
        tracker.sent(request.demand().promptTokens(), request.suspect());
        pieces.sent(chosen.id(), request.demand().pieces());
        if (!request.slot().complete(slot)) {
            tracker.prefilled(request.demand().promptTokens());
            tracker.released(false, request.suspect(), nowMillis);
        }
    }

    /**
     * Lists the endpoints that could serve a request now.
     *
     * @param request   the request
     * @param nowMillis the present time, of the monotonic clock
     * @return the endpoints
     */
    private List<EndpointState> candidates(DispatchRequest request, long nowMillis) {
        List<EndpointState> fresh = new ArrayList<>();
        List<EndpointState> avoided = new ArrayList<>();
        boolean othersExist = false;
        for (EndpointRule rule : configuration.endpointsOf(request.pool().id())) {
            EndpointTracker tracker = trackers.get(rule.id());
            if (ordered.contains(rule.id()) || reclaimed.contains(rule.id())) {
                continue;
            }
            boolean avoid = request.avoided().contains(rule.id());
            boolean allowed = (!request.firmOnly() || rule.supply() == Supply.FIRM)
                    && !(request.suspect() && tracker.hasSuspect());
            othersExist |= allowed && !avoid;
            if (allowed && tracker.hasRoom(request.pool().concurrency(), daemons, nowMillis)) {
                long cached = pieces.cachedTokens(rule.id(), request.demand().pieces());
                (avoid ? avoided : fresh).add(tracker.state(cached, nowMillis));
            }
        }
        return othersExist ? fresh : avoided;
    }

    /**
     * Notes that a prompt was read.
     *
     * @param endpoint the endpoint
     * @param demand   what the request asked
     */
    synchronized void prefilled(EndpointId endpoint, Demand demand) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.prefilled(demand.promptTokens());
        }
    }

    /**
     * Takes a slot back.
     *
     * @param endpoint the endpoint
     * @param failed   whether it failed the request
     * @param suspect  whether the request was suspected of crashing endpoints
     */
    synchronized void release(EndpointId endpoint, boolean failed, boolean suspect) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.released(failed, suspect, clocks.nowMillis());
            if (failed) {
                pieces.lost(endpoint);
            }
            pump(tracker.rule().pool());
        }
    }

    /**
     * Notes that an endpoint is asked for its load.
     *
     * @param endpoint the endpoint
     */
    public synchronized void reportAsked(EndpointId endpoint) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.reportAsked();
        }
    }

    /**
     * Takes a load report.
     *
     * @param endpoint    the endpoint
     * @param report      the report
     * @param askedMillis when it was asked for, of the monotonic clock
     */
    public synchronized void reported(EndpointId endpoint, LoadReport report, long askedMillis) {
        EndpointTracker tracker = trackers.get(endpoint);
        if (tracker != null) {
            tracker.reported(report, askedMillis);
            pump(tracker.rule().pool());
        }
    }

    /**
     * Takes cache events.
     *
     * @param endpoint the endpoint
     * @param events   the events
     */
    public synchronized void cacheEvents(EndpointId endpoint, List<CacheEvent> events) {
        for (CacheEvent event : events) {
            if (event.stored()) {
                pieces.stored(endpoint, event.piece());
            } else {
                pieces.dropped(endpoint, event.piece());
            }
        }
    }

    /**
     * Tells what is known of the endpoints.
     *
     * @return one line for each endpoint
     */
    public synchronized List<EndpointStatus> status() {
        return trackers.values().stream()
                .map(tracker -> new EndpointStatus(tracker.rule(), tracker.ownRequests(), tracker.report()))
                .toList();
    }

    /**
     * Counts the requests that wait.
     *
     * @return the count
     */
    public synchronized int waiting() {
        return queues.values().stream().mapToInt(RequestQueue::size).sum();
    }
}
