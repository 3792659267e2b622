package org.ragwortpitch.edge.traffic;

import java.util.function.Predicate;
import org.ragwortpitch.adapter.EngineCodec;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.logging.Event;

/**
 * Handle of a KV cache that one engine prefilled for another. It is freed if no engine takes it over.
 */
final class TransferredKvCache {

    private static final System.Logger LOGGER = System.getLogger(TransferredKvCache.class.getName());

    /** Timeout of the call that frees the KV cache, in milliseconds; the engine drops it on its own a little later. */
    private static final long FREE_TIMEOUT_MILLIS = 1_000;

    private final BufferingHttpCaller caller;
    private final String attemptId;
    private final Predicate<EndpointState> mayCall;
    private EndpointState engine;
    private String handle = "";

    /**
     * Creates a cache that does not exist yet.
     *
     * @param mayCall returns whether this daemon may call an engine now
     */
    TransferredKvCache(BufferingHttpCaller caller, String attemptId, Predicate<EndpointState> mayCall) {
        this.caller = caller;
        this.attemptId = attemptId;
        this.mayCall = mayCall;
    }

    void recordPrefill(EndpointState prefillEngine, String newHandle) {
        engine = prefillEngine;
        handle = newHandle;
    }

    boolean isAvailable() {
        return !handle.isEmpty();
    }

    /**
     * Returns the header value that names the engine and the handle to the engine that takes the KV cache over.
     */
    String source() {
        return EngineCodec.kvSource(engine.endpoint().address(), handle);
    }

    /**
     * Records that an engine has taken the KV cache over, so that it is not freed here.
     */
    void recordTransferred() {
        handle = "";
    }

    /**
     * Asks the prefill engine to free the KV cache unless it was taken over; a failure is only logged. An engine that
     * wants nothing now, or is in an evacuated domain, frees it by itself after a while.
     */
    void free() {
        if (!isAvailable()) {
            return;
        }
        String freed = handle;
        handle = "";
        if (!mayCall.test(engine)) {
            return;
        }
        caller.call(
                engine.endpoint().address(),
                EngineCodec.freeHandle(freed),
                FREE_TIMEOUT_MILLIS,
                response -> {},
                failure -> Event.of("free-failed")
                        .with("request", attemptId)
                        .with("reason", failure.reason())
                        .info(LOGGER));
    }
}
