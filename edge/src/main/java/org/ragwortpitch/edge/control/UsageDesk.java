package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.contract.StoreForm;
import org.ragwortpitch.contract.UsageForm;
import org.ragwortpitch.deployment.Daemon;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.ledger.LedgerEntry;
import org.ragwortpitch.logging.Event;

/**
 * Writes what this daemon counted into the usage journal, each entry until the store has it. Confined to the control
 * thread.
 */
final class UsageDesk {

    private static final Logger LOGGER = System.getLogger(UsageDesk.class.getName());

    /** Pause after a failed append, in milliseconds; several tries fit before a window is frozen. */
    private static final long PAUSE_MILLIS = 400;

    /** Entries that wait for the store at most; about five minutes of windows. */
    private static final int MAX_WAITING = 64;

    private final EventLoop loop;
    private final StoreClient store;
    private final Daemon self;
    private final Deque<LedgerEntry> waiting = new ArrayDeque<>();
    private int part;
    private boolean sending;

    /**
     * Makes a desk with nothing to write.
     *
     */
    UsageDesk(EventLoop loop, StoreClient store, Daemon self) {
        this.loop = loop;
        this.store = store;
        this.self = self;
    }

    /**
     * Takes counts of windows over.
     */
    void counted(SortedMap<Long, Map<AccountId, Long>> windows) {
        windows.forEach((window, counts) ->
                waiting.add(new LedgerEntry(window, self.id(), self.bornMillis(), part++, false, counts)));
        while (waiting.size() > MAX_WAITING) {
            LedgerEntry lost = waiting.poll();
            Event.of("usage-dropped")
                    .with("window", lost.window())
                    .with("reason", "the store was away for too long")
                    .warn(LOGGER);
        }
        send();
    }

    /**
     * Tells whether all counts are in the store.
     */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    private void send() {
        if (sending || waiting.isEmpty()) {
            return;
        }
        sending = true;
        // An entry whose answer was lost is written again as it was; readers count it once.
        List<LedgerEntry> batch = List.copyOf(waiting);
        List<byte[]> records = batch.stream().map(UsageForm::encode).toList();
        store.call(
                StoreForm.append(UsageForm.TOPIC, records),
                0,
                answer -> {
                    sending = false;
                    if (answer.isOk()) {
                        waiting.removeAll(batch);
                        send();
                    } else {
                        retry("status " + answer.status());
                    }
                },
                reason -> {
                    sending = false;
                    retry(reason);
                });
    }

    private void retry(String reason) {
        Event.of("usage-not-written")
                .with("entries", waiting.size())
                .with("reason", reason)
                .info(LOGGER);
        loop.schedule(this::send, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
