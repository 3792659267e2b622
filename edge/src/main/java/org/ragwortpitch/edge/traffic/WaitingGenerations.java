package org.ragwortpitch.edge.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.ragwortpitch.admission.AdmissionBounds;
import org.ragwortpitch.admission.AdmissionQueue;
import org.ragwortpitch.admission.EngineReservation;
import org.ragwortpitch.admission.EngineRoom;
import org.ragwortpitch.admission.RetrySchedule;
import org.ragwortpitch.admission.ServiceRate;
import org.ragwortpitch.admission.WaitingRequest;
import org.ragwortpitch.configuration.EndpointRole;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.PoolId;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.placement.EngineState;
import org.ragwortpitch.placement.Placement;

/**
 * The generations that wait in this daemon for room on an engine. They are examined when one arrives, when a request
 * ends at an engine, when gossip arrives, and periodically. Confined to the traffic thread.
 */
final class WaitingGenerations {

    private static final Logger LOGGER = System.getLogger(WaitingGenerations.class.getName());

    /** Bounds of each pool: the body of the largest request fits twice, and an instance has 290 MB of memory. */
    private static final AdmissionBounds BOUNDS = new AdmissionBounds(256, 8L << 20);

    /** Longest time between two examinations while something waits, in milliseconds. */
    private static final long TICK_MILLIS = 50;

    /** Gossip is examined together with what follows within this time, in milliseconds, as peers send at any moment. */
    private static final long GOSSIP_PAUSE_MILLIS = 10;

    /** Requests for which engines are searched in vain in one examination, which bounds its duration. */
    private static final int MAX_VAIN_SEARCHES = 16;

    private final TrafficContext context;
    private final Map<PoolId, WaitingPool> pools = new HashMap<>();
    private Optional<ScheduledFuture<?>> ticks = Optional.empty();
    private boolean gossipPending;
    private boolean examining;
    private boolean changed;

    WaitingGenerations(TrafficContext context) {
        this.context = context;
    }

    /**
     * Returns whether generations of a pool wait if there is no room: where accounts without a rate limit could take
     * all of it, and this daemon reaches the engines.
     */
    boolean isActive(PoolId pool) {
        return context.accounts().hasUnlimited() && !context.contacts().isLost(pool);
    }

    /**
     * Returns whether no request waits for an engine of a pool.
     */
    boolean isEmpty(PoolId pool) {
        WaitingPool known = pools.get(pool);
        return known == null || known.queue.size() == 0;
    }

    /**
     * Records the tokens of a request that was placed.
     */
    void recordServed(AccountId account, long tokens) {
        context.accounts().recordServed(account, tokens, now());
    }

    /**
     * Adds a request, which is placed at once if there is room and no other one is to be placed before it.
     */
    void enter(WaitingRequest<GenerationAdmission> request) {
        GenerationAdmission item = request.item();
        WaitingPool pool = pools.computeIfAbsent(item.pool(), WaitingPool::new);
        pool.queue.add(request);
        examine();
        for (WaitingRequest<GenerationAdmission> excess : pool.queue.removeExcess(now())) {
            refuse(pool, excess, "too many requests wait for an engine: retry later");
        }
        if (pool.queue.contains(item)) {
            item.markWaited();
            Event.of("waits")
                    .with("request", item.attemptId())
                    .with("account", request.account())
                    .with("tokens", request.tokens())
                    .with("waiting", pool.queue.size())
                    .with("for-millis", request.latestStartMillis() - request.arrivedMillis())
                    .info(LOGGER);
        }
        update();
    }

    /**
     * Removes a request that has ended, and gives the room that it had to others.
     */
    void leave(GenerationAdmission item) {
        WaitingPool pool = pools.get(item.pool());
        if (pool != null && pool.queue.contains(item)) {
            pool.queue.remove(item).ifPresent(request -> recordEnd(request, "left"));
            update();
        }
        reconsider();
    }

    /**
     * Examines the requests, as there may be room now.
     */
    void reconsider() {
        if (isAnyWaiting()) {
            examine();
            update();
        }
    }

    /**
     * Examines the requests shortly, together with further gossip.
     */
    void onGossip() {
        if (isAnyWaiting() && !gossipPending) {
            gossipPending = true;
            FaultBarrier barrier = new FaultBarrier("examine waiting requests");
            context.loop()
                    .schedule(
                            () -> {
                                gossipPending = false;
                                barrier.run("-", this::reconsider);
                            },
                            GOSSIP_PAUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private boolean isAnyWaiting() {
        return pools.values().stream().anyMatch(pool -> pool.queue.size() > 0);
    }

    /**
     * Places and refuses requests until nothing changes. Those that end meanwhile call this again.
     */
    private void examine() {
        changed = true;
        if (examining) {
            return;
        }
        examining = true;
        try {
            while (changed) {
                changed = false;
                List.copyOf(pools.values()).forEach(this::examine);
            }
        } finally {
            examining = false;
        }
    }

    private void examine(WaitingPool pool) {
        if (pool.queue.size() == 0) {
            return;
        }
        long now = now();
        ToDoubleFunction<AccountId> served = account -> context.accounts().servedTokens(account, now);
        Search search = newSearch(pool.id, now);
        Optional<WaitingRequest<GenerationAdmission>> next = pool.queue.next(served, search::finds, now);
        while (next.isPresent()) {
            give(pool, next.get(), search.found, now);
            search = newSearch(pool.id, now);
            next = pool.queue.next(served, search::finds, now);
        }
        for (WaitingRequest<GenerationAdmission> late :
                pool.queue.removeLate(served, pool.rate.tokensPerMilli(now), now)) {
            refuse(pool, late, "no engine has room, and the first event would come too late: retry later");
        }
    }

    private void give(
            WaitingPool pool, WaitingRequest<GenerationAdmission> request, Optional<Placement> found, long nowMillis) {
        if (found.isPresent() && (request.item().hasWaited() || pool.queue.size() > 0)) {
            pool.rate.record(request.tokens(), nowMillis);
        }
        recordEnd(request, found.isPresent() ? "placed" : "no-engine");
        request.item().give(found, this::recordServed, nowMillis);
    }

    private void refuse(WaitingPool pool, WaitingRequest<GenerationAdmission> request, String reason) {
        recordEnd(request, "refused");
        long now = now();
        long retryAfterMillis =
                pool.retries.retryAfterMillis(request.account(), request.tokens(), pool.rate.tokensPerMilli(now), now);
        request.item().refuse(retryAfterMillis, reason);
    }

    private void recordEnd(WaitingRequest<GenerationAdmission> request, String outcome) {
        if (request.item().hasWaited()) {
            long millis = now() - request.arrivedMillis();
            context.metrics().recordWait(outcome, millis);
            Event.of("wait-ended")
                    .with("request", request.item().attemptId())
                    .with("outcome", outcome)
                    .with("millis", millis)
                    .info(LOGGER);
        }
    }

    private Search newSearch(PoolId pool, long nowMillis) {
        List<EngineState> decodeEngines = context.endpoints().available(pool, EndpointScope.ALL, nowMillis).stream()
                .filter(state -> state.endpoint().role() == EndpointRole.DECODE)
                .map(EndpointState::engine)
                .toList();
        return new Search(isActive(pool), decodeEngines, nowMillis);
    }

    private void update() {
        int requests =
                pools.values().stream().mapToInt(pool -> pool.queue.size()).sum();
        long bytes =
                pools.values().stream().mapToLong(pool -> pool.queue.bytes()).sum();
        context.metrics().setWaiting(requests, bytes);
        if (requests > 0 && ticks.isEmpty()) {
            ticks = Optional.of(
                    FaultBarrier.schedule(context.loop(), "examine waiting requests", TICK_MILLIS, this::reconsider));
        } else if (requests == 0) {
            ticks.ifPresent(future -> future.cancel(false));
            ticks = Optional.empty();
        }
    }

    private long now() {
        return context.clockMillis().getAsLong();
    }

    /**
     * The requests that wait for one pool.
     */
    private static final class WaitingPool {

        private final PoolId id;
        private final AdmissionQueue<GenerationAdmission> queue = new AdmissionQueue<>(BOUNDS);
        private final ServiceRate rate = new ServiceRate();
        private final RetrySchedule retries = new RetrySchedule();

        WaitingPool(PoolId id) {
            this.id = id;
        }
    }

    /**
     * Searches engines for one request after the other.
     */
    private static final class Search {

        private final boolean allAtOnce;
        private final long nowMillis;
        private final List<EngineState> decodeEngines;
        private final long freeTokens;
        private final EngineReservation reservation = new EngineReservation();
        private int vainSearches;
        private Optional<Placement> found = Optional.empty();

        /**
         * Prepares a search.
         *
         * @param decodeEngines those that can be chosen; requests are not held if there are none
         */
        Search(boolean active, List<EngineState> decodeEngines, long nowMillis) {
            this.allAtOnce = !active || decodeEngines.isEmpty();
            this.decodeEngines = decodeEngines;
            this.nowMillis = nowMillis;
            this.freeTokens = decodeEngines.stream()
                    .mapToLong(EngineRoom::freeTokens)
                    .max()
                    .orElse(-1);
        }

        /** Returns whether a request is to be given {@link #found}. */
        boolean finds(WaitingRequest<GenerationAdmission> request) {
            if (allAtOnce) {
                found = request.item().anyEngines(nowMillis);
                return true;
            }
            if (request.tokens() > freeTokens) {
                reservation.recordBlocked(request, decodeEngines, nowMillis);
            } else if (vainSearches < MAX_VAIN_SEARCHES) {
                found = request.item().findRoom(reservation::allows, nowMillis);
                vainSearches++;
            }
            return found.isPresent();
        }
    }
}
