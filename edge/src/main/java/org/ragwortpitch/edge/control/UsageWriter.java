package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.adapter.UsageCodec;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.ledger.LedgerEntry;
import org.ragwortpitch.logging.Event;

/**
 * Writes this daemon's usage counts to the usage ledger, retrying each entry until the store has it. Confined to the
 * control thread.
 */
final class UsageWriter {

    private static final Logger LOGGER = System.getLogger(UsageWriter.class.getName());

    /** Pause after a refused append, in milliseconds; several attempts fit before a window is frozen. */
    private static final long RETRY_MILLIS = 400;

    /** Most entries that are queued for the store; about five minutes of windows. */
    private static final int MAX_PENDING = 64;

    private final EventLoop loop;
    private final StoreClient store;
    private final Daemon self;
    private final Deque<LedgerEntry> pending = new ArrayDeque<>();
    private int part;
    private boolean sending;

    UsageWriter(EventLoop loop, StoreClient store, Daemon self) {
        this.loop = loop;
        this.store = store;
        this.self = self;
    }

    /**
     * Queues counts, by window, for the ledger; beyond the limit, the oldest entries are dropped.
     */
    void add(SortedMap<Long, Map<AccountId, Long>> windows) {
        windows.forEach((window, counts) ->
                pending.add(new LedgerEntry(window, self.id(), self.startMillis(), part++, false, counts)));
        while (pending.size() > MAX_PENDING) {
            LedgerEntry dropped = pending.poll();
            Event.of("usage-dropped")
                    .with("window", dropped.window())
                    .with("reason", "the store was unreachable for too long")
                    .warn(LOGGER);
        }
        send();
    }

    /**
     * Returns whether the store has all counts.
     */
    boolean isEmpty() {
        return pending.isEmpty();
    }

    private void send() {
        if (sending || pending.isEmpty()) {
            return;
        }
        sending = true;
        // An entry whose response was lost is appended again unchanged; readers of the ledger count it once.
        List<LedgerEntry> batch = List.copyOf(pending);
        List<byte[]> records = batch.stream().map(UsageCodec::encode).toList();
        store.call(
                StoreCodec.append(UsageCodec.TOPIC, records),
                0,
                response -> {
                    sending = false;
                    if (response.isOk()) {
                        pending.removeAll(batch);
                        send();
                    } else {
                        logNotWritten("status " + response.status());
                        loop.schedule(this::send, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                },
                reason -> {
                    logNotWritten(reason);
                    store.retry(() -> {
                        sending = false;
                        send();
                    });
                });
    }

    private void logNotWritten(String reason) {
        Event.of("usage-not-written")
                .with("entries", pending.size())
                .with("reason", reason)
                .info(LOGGER);
    }
}
