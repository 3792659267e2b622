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
 * Stands in for a model engine: it batches, slows down under load, has a role and a limited prefix cache.
 */
final class EngineStandin {

    /**
     * A prompt with this text crashes the engine.
     */
    static final String CRASH_TEXT = "crash-this-endpoint";

    /**
     * How long a crashed engine stays away, in milliseconds.
     */
    private static final long CRASH_MILLIS = 2_000;

    /**
     * How long a change of role takes, in milliseconds.
     */
    private static final long ROLE_CHANGE_MILLIS = 3_000;

    /**
     * How fast it works.
     */
    private final EngineSpeed speed;

    /**
     * Whether it refuses old fencing numbers.
     */
    private final boolean checksFencing;

    /**
     * The faults.
     */
    private final FaultSwitch faults;

    /**
     * The prefix cache.
     */
    private final PrefixCache cache;

    /**
     * The requests that wait.
     */
    private final Deque<EngineRun> waiting = new ArrayDeque<>();

    /**
     * The requests in the batch.
     */
    private final List<EngineRun> batch = new ArrayList<>();

    /**
     * The requests received, whole as they came, for tests.
     */
    private final Deque<String> received = new ArrayDeque<>();

    /**
     * The orders carried out, oldest first, for tests.
     */
    private final List<EngineOrder> orders = new ArrayList<>();

    /**
     * How many runs were cancelled.
     */
    private final AtomicLong cancelled = new AtomicLong();

    /**
     * The engine's thread.
     */
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread engine = new Thread(task, "engine");
        engine.setDaemon(true);
        return engine;
    });

    /**
     * Whether a step is under way or planned.
     */
    private boolean stepping;

    /**
     * Until when the engine is away, in milliseconds since the epoch.
     */
    private long awayUntilMillis;

    /**
     * The role.
     */
    private String role = "mixed";

    /**
     * The highest fencing number seen.
     */
    private long lastFencing;

    /**
     * Makes an engine.
     *
     * @param speed         how fast it works
     * @param checksFencing whether it refuses old fencing numbers
     * @param faults        the faults
     */
    EngineStandin(EngineSpeed speed, boolean checksFencing, FaultSwitch faults) {
        this.speed = speed;
        this.checksFencing = checksFencing;
        this.faults = faults;
        this.cache = new PrefixCache(speed.cachePieces());
    }

    /**
     * Takes a request.
     *
     * @param request the request
     * @param events  where its events go
     * @return the run, or null if the engine is away
     */
    synchronized EngineRun run(EngineRequest request, SourceQueueWithComplete<EngineEvent> events) {
        if (System.currentTimeMillis() < awayUntilMillis) {
            return null;
        }
        int hits = cache.use(StandinText.pieces(request.prompt()));
        EngineRun run = new EngineRun(request, hits * StandinText.tokensPerPiece(), events);
        waiting.addLast(run);
        if (!stepping) {
            stepping = true;
            thread.execute(this::step);
        }
        return run;
    }

    /**
     * Cancels an attempt.
     *
     * @param attempt the attempt
     */
    synchronized void cancel(AttemptId attempt) {
        waiting.stream().filter(run -> run.request().id().equals(attempt)).forEach(EngineRun::cancel);
        batch.stream().filter(run -> run.request().id().equals(attempt)).forEach(EngineRun::cancel);
    }

    /**
     * Takes one step and plans the next.
     */
    private synchronized void step() {
        waiting.removeIf(this::dropCancelled);
        batch.removeIf(this::dropCancelled);
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
     * Tells whether a run was cancelled, and counts it if so.
     *
     * @param run the run
     * @return whether it was cancelled
     */
    private boolean dropCancelled(EngineRun run) {
        if (run.isCancelled()) {
            cancelled.incrementAndGet();
        }
        return run.isCancelled();
    }

    /**
     * Chooses what a run does wrong. The choice follows from the attempt, so that it holds for the whole run.
     *
     * @param run the run
     * @return the fault
     */
    private EngineFault faultOf(EngineRun run) {
        Faults now = faults.get();
        int lot = Math.floorMod(run.request().id().hashCode() * 31, 1000);
        return lot < now.engineFaultPermille() ? now.engineFault() : EngineFault.NONE;
    }

    /**
     * Ends all runs and goes away for a while.
     */
    private void crash() {
        batch.forEach(EngineRun::crash);
        waiting.forEach(EngineRun::crash);
        batch.clear();
        waiting.clear();
        cache.clear();
        stepping = false;
        awayUntilMillis = System.currentTimeMillis() + CRASH_MILLIS;
    }

    /**
     * Takes an order.
     *
     * @param order the order
     * @return whether it is accepted
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
                awayUntilMillis = System.currentTimeMillis() + ROLE_CHANGE_MILLIS;
            }
        }
        return true;
    }

    /**
     * Tells the load.
     *
     * @return the load
     */
    synchronized LoadReport load() {
        long queuedTokens = waiting.stream().mapToLong(EngineRun::unreadTokens).sum()
                + batch.stream().mapToLong(EngineRun::unreadTokens).sum();
        String shownRole = System.currentTimeMillis() < awayUntilMillis ? "changing" : role;
        long lastToken = orders.isEmpty() ? 0 : orders.get(orders.size() - 1).token();
        return new LoadReport(
                batch.size(), waiting.size(), queuedTokens, shownRole, cache.size(), lastFencing, lastToken);
    }

    /**
     * Tells cache events.
     *
     * @param fromSequence the first event wanted
     * @return the events
     */
    CacheEvents cacheEvents(long fromSequence) {
        return cache.since(fromSequence);
    }

    /**
     * Notes a request whole as it came.
     *
     * @param head and body of the request
     */
    synchronized void noteReceived(String head) {
        received.addLast(head);
        if (received.size() > 200) {
            received.removeFirst();
        }
    }

    /**
     * Tells the requests received.
     *
     * @return the requests, whole as they came
     */
    synchronized List<String> received() {
        return List.copyOf(received);
    }

    /**
     * Tells the orders carried out.
     *
     * @return the orders, oldest first
     */
    synchronized List<EngineOrder> orders() {
        return List.copyOf(orders);
    }

    /**
     * Counts the cancelled runs.
     *
     * @return the count
     */
    long cancelled() {
        return cancelled.get();
    }
}
