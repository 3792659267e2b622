package org.ragwortpitch.edge.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ragwortpitch.adapter.CodecException;
import org.ragwortpitch.adapter.CompactedTopicPage;
import org.ragwortpitch.adapter.KeyedRecord;
import org.ragwortpitch.adapter.StoreCodec;
import org.ragwortpitch.adapter.TopicPage;
import org.ragwortpitch.edge.http.CallResponse;
import org.ragwortpitch.edge.task.FaultBarrier;
import org.ragwortpitch.logging.Event;

/**
 * Follows a keyed topic: loads the newest record of each key, then reads the records after them; loads again when the
 * store has already deleted the next record, or has come back from an older copy, whose offsets it gives out again.
 * Confined to the control thread.
 */
final class TopicFollower {

    private static final Logger LOGGER = System.getLogger(TopicFollower.class.getName());

    /** Pause after an answer that can't be used, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** Shortest pause between two readings that are asked for, in milliseconds; calls are billed. */
    private static final long MIN_PAUSE_MILLIS = 50;

    /** Shortest pause between two readings for announced records, in milliseconds: several come in a row. */
    private static final long ANNOUNCED_PAUSE_MILLIS = 400;

    private static final int GONE = 410;

    private final EventLoop loop;
    private final StoreClient store;
    private final String topic;
    private final LongSupplier pauseMillis;
    private final LongSupplier waitMillis;
    private final LongSupplier clockMillis;
    private final TopicListener listener;
    private final FaultBarrier barrier;
    private long offset;
    private long announcedOffset = -1;
    private long sentMillis;
    private long reads;
    private boolean waiting;
    private ScheduledFuture<?> next;

    /**
     * Creates a follower that loads the topic on {@link #start()}.
     *
     * @param pauseMillis pause between reads, in milliseconds; calls are billed
     * @param waitMillis  long-poll timeout of a read, in milliseconds
     * @param clockMillis the monotonic clock
     */
    TopicFollower(
            EventLoop loop,
            StoreClient store,
            String topic,
            LongSupplier pauseMillis,
            LongSupplier waitMillis,
            LongSupplier clockMillis,
            TopicListener listener) {
        this.loop = loop;
        this.store = store;
        this.topic = topic;
        this.pauseMillis = pauseMillis;
        this.waitMillis = waitMillis;
        this.clockMillis = clockMillis;
        this.listener = listener;
        this.barrier = new FaultBarrier("follow " + topic);
        store.onRestored(this::restart);
    }

    void start() {
        // Whatever is under way belongs to an earlier load, and its answer is ignored.
        long load = ++reads;
        waiting = false;
        load(load, "", new ArrayList<>(), -1);
    }

    private void restart() {
        if (reads > 0) {
            if (next != null) {
                next.cancel(false);
                next = null;
            }
            announcedOffset = -1;
            start();
        }
    }

    /**
     * Reads ahead of schedule, so that a reading follows that is sent after this call; at most twenty times a second. A
     * call while another reading is under way has to be repeated once that one is answered.
     */
    void readSoon() {
        bringForward(MIN_PAUSE_MILLIS);
    }

    private void bringForward(long shortestPauseMillis) {
        if (next == null) {
            return;
        }
        long pausedMillis = clockMillis.getAsLong() - sentMillis;
        long leftMillis = next.getDelay(TimeUnit.MILLISECONDS);
        if (next.cancel(false)) {
            next = schedule(Math.max(0, Math.min(leftMillis, shortestPauseMillis - pausedMillis)), this::read);
        }
    }

    /**
     * Replaces the reading that waits for records by one that doesn't, as its connection may have gone silent.
     */
    void readAgain() {
        if (waiting) {
            read(0);
        }
    }

    /**
     * Reads ahead of schedule unless the topic has already been read past an offset.
     */
    void expediteRead(long announced) {
        announcedOffset = Math.max(announcedOffset, announced);
        if (offset <= announcedOffset) {
            bringForward(ANNOUNCED_PAUSE_MILLIS);
        }
    }

    private void load(long load, String after, List<KeyedRecord> loaded, long firstEnd) {
        if (loaded.isEmpty()) {
            sentMillis = clockMillis.getAsLong();
        }
        store.call(
                StoreCodec.readCompacted(topic, after),
                0,
                response -> {
                    if (load == reads) {
                        onLoadedPage(response, load, after, loaded, firstEnd);
                    }
                },
                reason -> {
                    if (load == reads) {
                        store.retry(() -> startUnlessRestarted(load));
                    }
                });
    }

    private void startUnlessRestarted(long load) {
        if (load == reads) {
            start();
        }
    }

    private void onLoadedPage(CallResponse response, long load, String after, List<KeyedRecord> loaded, long firstEnd) {
        try {
            if (!response.isOk()) {
                throw new CodecException("load returned status " + response.status());
            }
            CompactedTopicPage page = StoreCodec.compactedPage(response.body());
            loaded.addAll(page.records());
            // Pages of one load may differ in time, so reading starts at the log's end as of the first page.
            long end = firstEnd < 0 ? page.endOffset() : firstEnd;
            if (page.hasMore() && !page.records().isEmpty()) {
                String last = page.records().get(page.records().size() - 1).key();
                if (last.equals(after)) {
                    throw new CodecException("the pages of the load don't advance after key " + last);
                }
                load(load, last, loaded, end);
                return;
            }
            offset = end;
            Event.of("topic-loaded")
                    .with("topic", topic)
                    .with("keys", loaded.size())
                    .with("offset", offset)
                    .info(LOGGER);
            barrier.run("load up to offset " + offset, () -> {
                listener.onLoaded(loaded, end);
                listener.onRead(new TopicReading(sentMillis, false));
            });
            read();
        } catch (CodecException exception) {
            logUnreadable(exception);
            schedule(RETRY_MILLIS, () -> startUnlessRestarted(load));
        }
    }

    private void read() {
        // The first read after a failure doesn't wait for records, so that the store's return shows at once.
        read(store.isReachable() ? waitMillis.getAsLong() : 0);
    }

    private void read(long currentWaitMillis) {
        next = null;
        sentMillis = clockMillis.getAsLong();
        long read = ++reads;
        waiting = currentWaitMillis > 0;
        store.call(
                StoreCodec.read(topic, offset, currentWaitMillis),
                currentWaitMillis,
                response -> {
                    if (read == reads) {
                        onReadPage(response);
                    }
                },
                reason -> {
                    if (read == reads) {
                        waiting = false;
                        store.retry(() -> {
                            if (read == reads) {
                                read();
                            }
                        });
                    }
                });
    }

    private void onReadPage(CallResponse response) {
        waiting = false;
        if (response.status() == GONE) {
            start();
            return;
        }
        try {
            if (!response.isOk()) {
                throw new CodecException("read returned status " + response.status());
            }
            TopicPage page = StoreCodec.logPage(response.body(), offset);
            List<KeyedRecord> records = new ArrayList<>();
            for (int index = 0; index < page.records().size(); index++) {
                addIfReadable(records, page.records().get(index), offset + index);
            }
            barrier.run("offsets from " + offset, () -> {
                if (!records.isEmpty()) {
                    listener.onRecords(records);
                }
                listener.onRead(new TopicReading(sentMillis, true));
            });
            offset = page.nextOffset();
            next = schedule(offset <= announcedOffset ? RETRY_MILLIS : pauseMillis.getAsLong(), this::read);
        } catch (CodecException exception) {
            logUnreadable(exception);
            next = schedule(RETRY_MILLIS, this::read);
        }
    }

    private void addIfReadable(List<KeyedRecord> records, byte[] content, long at) {
        try {
            records.add(StoreCodec.decodeKeyed(content, at));
        } catch (CodecException exception) {
            logUnreadable(exception);
        }
    }

    private void logUnreadable(CodecException exception) {
        Event.of("topic-unreadable")
                .with("topic", topic)
                .with("offset", offset)
                .with("reason", exception.getMessage())
                .warn(LOGGER);
    }

    private ScheduledFuture<?> schedule(long millis, Runnable action) {
        return loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
