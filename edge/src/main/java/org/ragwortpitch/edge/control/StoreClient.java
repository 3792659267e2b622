package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.Headers;
import org.ragwortpitch.adapter.HttpCall;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.edge.directory.EdgeMetrics;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.logging.Event;

/**
 * Client of the platform's store that tracks since when the store has been reachable, and its era: the store may come
 * back from an older copy, without the latest of what it has acknowledged. Confined to the control thread.
 */
final class StoreClient {

    private static final Logger LOGGER = System.getLogger(StoreClient.class.getName());

    /** Response timeout in addition to a long poll's own wait, in milliseconds; responses usually take 4 ms. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    /** Response timeout while the store is unreachable, in milliseconds; short, so that its return shows soon. */
    private static final long UNREACHABLE_RESPONSE_TIMEOUT_MILLIS = 600;

    private static final int FIRST_SERVER_ERROR = 500;

    private static final int TOO_MANY_REQUESTS = 429;

    /** Pause between two attempts while the store is unreachable, in milliseconds; calls that fail are billed too. */
    private static final long PROBE_MILLIS = 250;

    private static final long UNKNOWN_ERA = -1;

    private final EventLoop loop;
    private final BufferingHttpCaller caller;
    private final String address;
    private final FaultBarrier barrier = new FaultBarrier("retry");
    private final LongSupplier clockMillis;
    private final EdgeMetrics metrics;
    private final Consumer<Boolean> onReachable;
    private final Deque<Runnable> retries = new ArrayDeque<>();
    private boolean probing;
    private boolean reachable;
    private long reachableSinceMillis;
    private final List<Runnable> restoreListeners = new ArrayList<>();
    private long era = UNKNOWN_ERA;
    private long firstEra = UNKNOWN_ERA;

    /**
     * Creates a client that has not reached the store yet.
     *
     * @param onReachable called with each change of whether the store is reachable
     */
    StoreClient(
            EventLoop loop,
            BufferingHttpCaller caller,
            String address,
            LongSupplier clockMillis,
            EdgeMetrics metrics,
            Consumer<Boolean> onReachable) {
        this.loop = loop;
        this.caller = caller;
        this.address = address;
        this.clockMillis = clockMillis;
        this.metrics = metrics;
        this.onReachable = onReachable;
    }

    /**
     * Adds an action that runs whenever the store turns out to have come back from an older copy: offsets and
     * generations may have gone back, and acknowledged records may be gone.
     */
    void onRestored(Runnable action) {
        restoreListeners.add(action);
    }

    /**
     * Returns the era of the newest response; empty if the store states none.
     */
    OptionalLong era() {
        return era == UNKNOWN_ERA ? OptionalLong.empty() : OptionalLong.of(era);
    }

    /**
     * Returns the era of the first response; empty if the store states none.
     */
    OptionalLong firstEra() {
        return firstEra == UNKNOWN_ERA ? OptionalLong.empty() : OptionalLong.of(firstEra);
    }

    /**
     * Sends a call. A response from another era than that in which the call was sent counts as a failure, since what
     * the call was based on may be gone.
     *
     * @param waitMillis how long the call asks the store to wait for records, in milliseconds
     * @param onResponse receives a response that is specific to the call: no server error and not status 429
     * @param onFailure  receives the reason if the store is unreachable or refuses all calls, or the response was lost
     */
    void call(HttpCall call, long waitMillis, Consumer<CallResponse> onResponse, Consumer<String> onFailure) {
        long sentEra = era;
        caller.call(
                address,
                call,
                reachable ? waitMillis + RESPONSE_TIMEOUT_MILLIS : UNREACHABLE_RESPONSE_TIMEOUT_MILLIS,
                response -> {
                    boolean sameEra = observeEra(response, sentEra);
                    if (response.status() >= FIRST_SERVER_ERROR || response.status() == TOO_MANY_REQUESTS) {
                        markUnreachable(call, "status " + response.status());
                        onFailure.accept("status " + response.status());
                    } else {
                        markReachable(call);
                        if (sameEra) {
                            onResponse.accept(response);
                        } else {
                            onFailure.accept("the store came back from an older copy meanwhile");
                        }
                    }
                },
                failure -> {
                    markUnreachable(call, failure.reason());
                    onFailure.accept(failure.reason());
                });
    }

    /**
     * Learns the era from a response.
     *
     * @return whether the call was sent in the same era, or before any was known
     */
    private boolean observeEra(CallResponse response, long sentEra) {
        OptionalLong stated = StoreCodec.era(response.headers().get(Headers.STORE_ERA));
        if (stated.isEmpty()) {
            return true;
        }
        if (stated.getAsLong() > era) {
            long before = era;
            era = stated.getAsLong();
            if (before == UNKNOWN_ERA) {
                firstEra = era;
            } else {
                reachableSinceMillis = clockMillis.getAsLong();
                Event.of("store-restored")
                        .with("before", before)
                        .with("era", era)
                        .warn(LOGGER);
                restoreListeners.forEach(listener -> barrier.run("era " + era, listener));
            }
        }
        return stated.getAsLong() == era && (sentEra == UNKNOWN_ERA || sentEra == era);
    }

    /**
     * Repeats work whose call has failed. While the store is unreachable, one of the repeats that wait is tried every
     * 250 ms, in turn; once it answers, all are run.
     */
    void retry(Runnable repeat) {
        retries.add(repeat);
        if (!probing) {
            probing = true;
            loop.schedule(this::probe, PROBE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void probe() {
        probing = false;
        if (!retries.isEmpty()) {
            Runnable repeat = retries.poll();
            if (!retries.isEmpty()) {
                probing = true;
                loop.schedule(this::probe, PROBE_MILLIS, TimeUnit.MILLISECONDS);
            }
            repeat.run();
        }
    }

    private void runRetries() {
        List<Runnable> waiting = List.copyOf(retries);
        retries.clear();
        waiting.forEach(repeat -> barrier.run("-", repeat));
    }

    /**
     * Returns how long the store has answered without a failure, in milliseconds; 0 while it is unreachable.
     */
    long reachableForMillis() {
        return reachable ? clockMillis.getAsLong() - reachableSinceMillis : 0;
    }

    boolean isReachable() {
        return reachable;
    }

    private void markReachable(HttpCall call) {
        if (!reachable) {
            reachable = true;
            onReachable.accept(true);
            loop.execute(this::runRetries);
            reachableSinceMillis = clockMillis.getAsLong();
            Event.of("dependency-reached")
                    .with("dependency", "store")
                    .with("call", call.target())
                    .info(LOGGER);
        }
    }

    private void markUnreachable(HttpCall call, String reason) {
        if (reachable) {
            reachable = false;
            onReachable.accept(false);
            metrics.recordDependencyLoss("store");
            Event.of("dependency-lost")
                    .with("dependency", "store")
                    .with("call", call.target())
                    .with("reason", reason)
                    .warn(LOGGER);
        }
    }
}
