package org.ragwortpitch.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.ragwortpitch.endpoint.AttemptId;
import org.ragwortpitch.endpoint.CacheEvents;
import org.ragwortpitch.endpoint.EngineEvent;
import org.ragwortpitch.endpoint.EngineOrder;
import org.ragwortpitch.endpoint.EngineRequest;
import org.ragwortpitch.endpoint.LoadReport;

/**
 * Stand-in for a model engine with continuous batching: it slows down under load, has a role, orders with fencing
 * tokens and a limited prefix cache.
 */
final class EngineStandin {

    /**
     * A prompt that contains this text crashes the engine.
     */
    static final String CRASH_TEXT = "crash-this-endpoint";

    /**
     * How long a crashed engine is unavailable, in milliseconds.
     */
    private static final long CRASH_RECOVERY_MILLIS = 2_000;

    /**
     * How long an engine is unavailable for a change of role, in milliseconds.
     */
    private static final long ROLE_CHANGE_MILLIS = 3_000;

    private static final int MAX_RECEIVED_REQUESTS = 200;

    private final EngineSpeed speed;

    private final boolean checksFencing;

    private final FaultSwitch faults;

    private final PrefixCache cache;

    private final Deque<EngineRun> waiting = new ArrayDeque<>();

    private final List<EngineRun> batch = new ArrayList<>();

    /**
     * The latest requests, with headers and body, for tests.
     */
    private final Deque<String> received = new ArrayDeque<>();

    /**
     * The orders carried out, oldest first, for tests.
     */
    private final List<EngineOrder> orders = new ArrayList<>();

    private final AtomicLong cancelled = new AtomicLong();

    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread engine = new Thread(task, "engine");
        engine.setDaemon(true);
        return engine;
    });

    /**
     * Whether a step is running or scheduled.
     */
    private boolean stepping;

    /**
     * In milliseconds since the epoch.
     */
    private long unavailableUntilMillis;

    private String role = "mixed";

    /**
     * The highest fencing token seen.
     */
    private long lastFencing;

    /**
     * Creates an engine.
     *
     * @param speed         its timing and capacity
     * @param checksFencing whether it refuses orders with a stale fencing token
     * @param faults        the faults to inject
     */
    EngineStandin(EngineSpeed speed, boolean checksFencing, FaultSwitch faults) {
        this.speed = speed;
        this.checksFencing = checksFencing;
        this.faults = faults;
        this.cache = new PrefixCache(speed.cacheBlocks());
    }

    /**
     * Enqueues a request.
     *
     * @param events receives the events of the run
     * @return the run, or null while the engine is unavailable
     */
    synchronized EngineRun run(EngineRequest request, SourceQueueWithComplete<EngineEvent> events) {
        if (System.currentTimeMillis() < unavailableUntilMillis) {
            return null;
        }
        int hits = cache.use(StandinText.prefixBlocks(request.prompt()));
        EngineRun run = new EngineRun(request, hits * StandinText.tokensPerBlock(), events);
        waiting.addLast(run);
        if (!stepping) {
            stepping = true;
            thread.execute(this::step);
        }
        return run;
    }

    /**
     * Cancels an attempt; does nothing if it does not run here.
     */
    synchronized void cancel(AttemptId attempt) {
        waiting.stream().filter(run -> run.request().id().equals(attempt)).forEach(EngineRun::cancel);
        batch.stream().filter(run -> run.request().id().equals(attempt)).forEach(EngineRun::cancel);
    }

    /**
     * Runs one step and schedules the next one if any request is left.
     */
    private synchronized void step() {
        waiting.removeIf(this::countIfCancelled);
        batch.removeIf(this::countIfCancelled);
        while (!waiting.isEmpty() && batch.size() < speed.maxBatch()) {
            batch.add(waiting.removeFirst());
        }
        if (batch.stream().anyMatch(run -> run.request().prompt().contains(CRASH_TEXT))) {
            crash();
            return;
        }
        int budget = speed.prefillChunkTokens();
        int prefilled = 0;
        for (EngineRun run : List.copyOf(batch)) {
            prefilled += run.prefill(budget - prefilled);
            if (run.isPrefilled() && !run.step(faultOf(run))) {
                batch.remove(run);
            }
        }
        if (batch.isEmpty() && waiting.isEmpty()) {
            stepping = false;
            return;
        }
        long micros =
                speed.stepMicros() + speed.perRequestMicros() * batch.size() + speed.prefillTokenMicros() * prefilled;
        thread.schedule(this::step, micros, TimeUnit.MICROSECONDS);
    }

    /**
     * Returns whether a run was cancelled, and counts it then.
     */
    private boolean countIfCancelled(EngineRun run) {
        if (run.isCancelled()) {
            cancelled.incrementAndGet();
        }
        return run.isCancelled();
    }

    /**
     * Chooses the fault of a run by a hash of its attempt, so that all steps of a run show the same fault.
     */
    private EngineFault faultOf(EngineRun run) {
        Faults now = faults.get();
        int draw = Math.floorMod(run.request().id().hashCode() * 31, 1000);
        return draw < now.engineFaultPermille() ? now.engineFault() : EngineFault.NONE;
    }

    /**
     * Fails all runs, drops the prefix cache and makes the engine unavailable for a while.
     */
    private void crash() {
        batch.forEach(EngineRun::crash);
        waiting.forEach(EngineRun::crash);
        batch.clear();
        waiting.clear();
        cache.clear();
        stepping = false;
        unavailableUntilMillis = System.currentTimeMillis() + CRASH_RECOVERY_MILLIS;
    }

    /**
     * Carries out an order. A repeated order is accepted without effect.
     *
     * @return false if the order's fencing token is stale
     */
    synchronized boolean order(EngineOrder order) {
        if (checksFencing && order.fencing() < lastFencing) {
            return false;
        }
        lastFencing = Math.max(lastFencing, order.fencing());
        boolean repeated = orders.stream().anyMatch(earlier -> earlier.token() == order.token());
        if (!repeated) {
            orders.add(order);
            if (order.action().equals("role") && !order.argument().equals(role)) {
                role = order.argument();
                unavailableUntilMillis = System.currentTimeMillis() + ROLE_CHANGE_MILLIS;
            }
        }
        return true;
    }

    synchronized LoadReport load() {
        long queuedTokens = waiting.stream()
                        .mapToLong(EngineRun::remainingPrefillTokens)
                        .sum()
                + batch.stream().mapToLong(EngineRun::remainingPrefillTokens).sum();
        String shownRole = System.currentTimeMillis() < unavailableUntilMillis ? "changing" : role;
        long lastToken = orders.isEmpty() ? 0 : orders.get(orders.size() - 1).token();
        return new LoadReport(
                batch.size(), waiting.size(), queuedTokens, shownRole, cache.size(), lastFencing, lastToken);
    }

    /**
     * Returns the prefix cache's events from a sequence number on.
     */
    CacheEvents cacheEvents(long fromSequence) {
        return cache.since(fromSequence);
    }

    /**
     * Records a request's headers and body for tests.
     */
    synchronized void recordReceived(String request) {
        received.addLast(request);
        if (received.size() > MAX_RECEIVED_REQUESTS) {
            received.removeFirst();
        }
    }

    synchronized List<String> received() {
        return List.copyOf(received);
    }

    /**
     * Returns the orders carried out, oldest first.
     */
    synchronized List<EngineOrder> orders() {
        return List.copyOf(orders);
    }

    /**
     * Returns how many runs were cancelled.
     */
    long cancelled() {
        return cancelled.get();
    }
}
