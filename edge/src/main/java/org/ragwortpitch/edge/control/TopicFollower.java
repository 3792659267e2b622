package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.contract.FormException;
import org.ragwortpitch.contract.KeyedRecord;
import org.ragwortpitch.contract.LogPage;
import org.ragwortpitch.contract.NewestPage;
import org.ragwortpitch.contract.StoreForm;
import org.ragwortpitch.edge.http.CallAnswer;
import org.ragwortpitch.logging.Event;

/**
 * Follows a keyed topic: loads the newest record of each key, then reads on; loads again when the store has deleted
 * what comes next. Confined to the control thread.
 */
final class TopicFollower {

    private static final Logger LOGGER = System.getLogger(TopicFollower.class.getName());

    /** Pause after a failed call, in milliseconds; short beside the bounds that start at the store's return. */
    private static final long PAUSE_MILLIS = 250;

    private static final int GONE = 410;

    private final EventLoop loop;
    private final StoreClient store;
    private final String topic;
    private final long paceMillis;
    private final long waitMillis;
    private final TopicListener listener;
    private long offset;
    private long wantedOffset = -1;
    private ScheduledFuture<?> next;

    /**
     * Prepares to follow a topic.
     *
     * @param paceMillis the pause between reads, in milliseconds: calls have a price
     * @param waitMillis how long the store waits for a record, in milliseconds
     */
    TopicFollower(
            EventLoop loop, StoreClient store, String topic, long paceMillis, long waitMillis, TopicListener listener) {
        this.loop = loop;
        this.store = store;
        this.topic = topic;
        this.paceMillis = paceMillis;
        this.waitMillis = waitMillis;
        this.listener = listener;
    }

    void start() {
        load("", new ArrayList<>(), -1);
    }

    /**
     * Reads before its time, since there is a record that is worth it.
     */
    void readSoon(long atOffset) {
        wantedOffset = Math.max(wantedOffset, atOffset);
        if (offset <= wantedOffset && next != null && next.cancel(false)) {
            next = null;
            read();
        }
    }

    private void load(String after, List<KeyedRecord> loaded, long firstEnd) {
        store.call(
                StoreForm.newest(topic, after),
                0,
                answer -> loaded(answer, loaded, firstEnd),
                reason -> later(PAUSE_MILLIS, this::start));
    }

    private void loaded(CallAnswer answer, List<KeyedRecord> loaded, long firstEnd) {
        try {
            if (!answer.isOk()) {
                throw new FormException("loading answered " + answer.status());
            }
            NewestPage page = StoreForm.newestPage(answer.body());
            loaded.addAll(page.records());
            // Pages are not a snapshot: what changes meanwhile is read from where the first page ended.
            long end = firstEnd < 0 ? page.endOffset() : firstEnd;
            if (page.hasMore() && !page.records().isEmpty()) {
                load(page.records().get(page.records().size() - 1).key(), loaded, end);
                return;
            }
            offset = end;
            Event.of("topic-loaded")
                    .with("topic", topic)
                    .with("keys", loaded.size())
                    .with("offset", offset)
                    .info(LOGGER);
            listener.onLoaded(loaded);
            read();
        } catch (FormException exception) {
            unreadable(exception);
            later(PAUSE_MILLIS, this::start);
        }
    }

    private void read() {
        // A store that was lost is asked for a quick answer first, which shows that it is back.
        long nowWaitMillis = store.isReached() ? waitMillis : 0;
        store.call(
                StoreForm.read(topic, offset, nowWaitMillis),
                nowWaitMillis,
                this::readOn,
                reason -> later(PAUSE_MILLIS, this::read));
    }

    private void readOn(CallAnswer answer) {
        if (answer.status() == GONE) {
            start();
            return;
        }
        try {
            if (!answer.isOk()) {
                throw new FormException("reading answered " + answer.status());
            }
            LogPage page = StoreForm.logPage(answer.body(), offset);
            List<KeyedRecord> records = new ArrayList<>();
            for (int index = 0; index < page.records().size(); index++) {
                addReadable(records, page.records().get(index), offset + index);
            }
            offset = page.nextOffset();
            if (!records.isEmpty()) {
                listener.onRecords(records);
            }
            next = later(offset <= wantedOffset ? PAUSE_MILLIS : paceMillis, this::read);
        } catch (FormException exception) {
            unreadable(exception);
            later(PAUSE_MILLIS, this::read);
        }
    }

    private void addReadable(List<KeyedRecord> records, byte[] content, long at) {
        try {
            records.add(StoreForm.keyedRecord(content, at));
        } catch (FormException exception) {
            unreadable(exception);
        }
    }

    private void unreadable(FormException exception) {
        Event.of("topic-unreadable")
                .with("topic", topic)
                .with("offset", offset)
                .with("reason", exception.getMessage())
                .warn(LOGGER);
    }

    private ScheduledFuture<?> later(long millis, Runnable action) {
        return loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
