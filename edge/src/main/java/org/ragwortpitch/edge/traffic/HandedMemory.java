package org.ragwortpitch.edge.traffic;

import org.ragwortpitch.contract.EngineForm;
import org.ragwortpitch.edge.http.HttpCaller;
import org.ragwortpitch.logging.Event;

/**
 * The memory of a prompt that one engine has read for another. It is freed if no engine takes it over.
 */
final class HandedMemory {

    private static final System.Logger LOGGER = System.getLogger(HandedMemory.class.getName());

    /** How long freeing may take, in milliseconds; the memory lapses by itself a little later. */
    private static final long FREE_MILLIS = 1_000;

    private final HttpCaller caller;
    private final String attemptId;
    private String address = "";
    private String handle = "";

    HandedMemory(HttpCaller caller, String attemptId) {
        this.caller = caller;
        this.attemptId = attemptId;
    }

    /**
     * Notes where memory lies.
     */
    void read(EndpointState reader, String newHandle) {
        address = reader.endpoint().address();
        handle = newHandle;
    }

    boolean isThere() {
        return !handle.isEmpty();
    }

    /**
     * Tells where it lies, for the engine that takes it over.
     */
    String from() {
        return EngineForm.memoryFrom(address, handle);
    }

    /**
     * Notes that an engine has taken it over.
     */
    void taken() {
        handle = "";
    }

    /**
     * Frees it if it is still there.
     */
    void free() {
        if (!isThere()) {
            return;
        }
        String freed = handle;
        handle = "";
        caller.call(address, EngineForm.free(freed), FREE_MILLIS, answer -> {}, breakage -> Event.of("free-failed")
                .with("request", attemptId)
                .with("reason", breakage.reason())
                .info(LOGGER));
    }
}
