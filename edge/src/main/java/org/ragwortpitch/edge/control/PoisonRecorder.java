package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.poison.CrashCause;

/**
 * Writes to the store which requests and prefix blocks have crashed endpoints. Confined to the control thread.
 */
final class PoisonRecorder {

    private static final Logger LOGGER = System.getLogger(PoisonRecorder.class.getName());

    private static final long RETRY_MILLIS = 500;

    /** Causes that are written again if the store loses them; it has one record of each. */
    private static final int MAX_RECORDED = 256;

    private final EventLoop loop;
    private final StoreClient store;
    private final Map<CrashCause, byte[]> recorded = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashCause, byte[]> eldest) {
            return size() > MAX_RECORDED;
        }
    };

    PoisonRecorder(EventLoop loop, StoreClient store) {
        this.loop = loop;
        this.store = store;
    }

    /**
     * Records the crashes of a cause; retries while the store is unreachable.
     *
     * @param crashes encoded crashes
     */
    void record(CrashCause cause, byte[] crashes) {
        byte[] record = StoreCodec.encodeKeyed(cause.toString(), crashes);
        recorded.put(cause, crashes);
        store.call(
                StoreCodec.append(StoreCodec.POISON_TOPIC, List.of(record)),
                0,
                response -> {
                    if (!response.isOk()) {
                        logNotWritten(cause, "status " + response.status());
                    }
                },
                reason -> {
                    logNotWritten(cause, reason);
                    loop.schedule(() -> record(cause, crashes), RETRY_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Records again what the store may have lost.
     */
    void recordAllAgain() {
        Map.copyOf(recorded).forEach(this::record);
    }

    private static void logNotWritten(CrashCause cause, String reason) {
        Event.of("poison-block-not-written")
                .with("block", cause)
                .with("reason", reason)
                .warn(LOGGER);
    }
}
