package org.ragwortpitch.edge.control;

import java.lang.System.Logger;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.HttpCall;
import org.ragwortpitch.edge.http.BufferingHttpCaller;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.logging.Event;

/**
 * Client of the platform's API that duties call. Where the platform doesn't check fencing tokens, the next holder
 * relies on a call being delivered within its timeout or not at all. So each call has a connection of its own, as
 * nothing is sent unless that opens, and the pool has to reset connections that are closed. Confined to the control
 * thread.
 */
final class PlatformClient {

    private static final Logger LOGGER = System.getLogger(PlatformClient.class.getName());

    /** Longest response timeout, in milliseconds; a later response is treated as lost. */
    private static final long MAX_RESPONSE_TIMEOUT_MILLIS = 2_000;

    /** The part of the next holder's wait within which a call is delivered; the rest is for its execution. */
    private static final double TIMEOUT_PER_LEASE = 2.0 / 3;

    private final BufferingHttpCaller caller;
    private final String address;
    private final boolean fenced;
    private final LongSupplier leaseMillis;

    /**
     * Creates a client.
     *
     * @param caller      whose pool resets connections that are closed
     * @param address     host and port
     * @param fenced      whether the platform checks fencing tokens
     * @param leaseMillis without fencing, how long the next holder waits for calls of the last one, in milliseconds
     */
    PlatformClient(BufferingHttpCaller caller, String address, boolean fenced, LongSupplier leaseMillis) {
        this.caller = caller.onNewConnections();
        this.address = address;
        this.fenced = fenced;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Sends a call.
     *
     * @param description describes the call in the log
     * @param onResponse  receives any response, whatever its status
     * @param onFailure   called if there was no response; the call may still be carried out
     */
    void call(HttpCall call, String description, Consumer<CallResponse> onResponse, Runnable onFailure) {
        long startNanos = System.nanoTime();
        caller.call(
                address,
                call,
                timeoutMillis(),
                response -> {
                    Event.of("duty-call")
                            .with("what", description)
                            .with("status", response.status())
                            .with("millis", millisSince(startNanos))
                            .info(LOGGER);
                    onResponse.accept(response);
                },
                failure -> {
                    Event.of("duty-call")
                            .with("what", description)
                            .with("status", "-")
                            .with("millis", millisSince(startNanos))
                            .with("sent", failure.sent())
                            .with("reason", failure.reason())
                            .warn(LOGGER);
                    onFailure.run();
                });
    }

    private long timeoutMillis() {
        return fenced
                ? MAX_RESPONSE_TIMEOUT_MILLIS
                : Math.min(MAX_RESPONSE_TIMEOUT_MILLIS, (long) (leaseMillis.getAsLong() * TIMEOUT_PER_LEASE));
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
