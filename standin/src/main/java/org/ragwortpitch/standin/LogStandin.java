package org.ragwortpitch.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpitch.platform.LogPage;
import org.ragwortpitch.platform.StoredRecord;

/**
 * In-memory stand-in for the platform's log, with a limited number of records.
 */
final class LogStandin {

    private static final long POLL_INTERVAL_MILLIS = 2;

    private final Deque<TimedRecord> records = new ArrayDeque<>();

    private final int capacity;

    private final ScheduledExecutorService timer;

    private final FaultSwitch faults;

    /**
     * The offset of the next record.
     */
    private long headOffset;

    private long appends;

    /**
     * Creates an empty log.
     *
     * @param capacity the most records retained; older ones are dropped
     * @param timer    polls for records on behalf of waiting reads
     * @param faults   the faults to inject
     */
    LogStandin(int capacity, ScheduledExecutorService timer, FaultSwitch faults) {
        this.capacity = capacity;
        this.timer = timer;
        this.faults = faults;
    }

    /**
     * Appends records atomically.
     *
     * @param nowMillis the time of the append, in milliseconds since the epoch
     * @return the offset of the first record
     */
    synchronized long append(List<String> texts, long nowMillis) {
        long first = headOffset;
        appends++;
        for (String text : texts) {
            records.addLast(new TimedRecord(new StoredRecord(headOffset++, text), nowMillis));
            if (records.size() > capacity) {
                records.removeFirst();
            }
        }
        return first;
    }

    /**
     * Reads records, waiting for the first one if there are none (long polling).
     *
     * @param fromOffset the first offset to return
     * @param maxRecords the most records to return
     * @param waitMillis how long to wait, in milliseconds
     * @return a page, empty if no record arrived in time
     */
    CompletableFuture<LogPage> read(long fromOffset, int maxRecords, long waitMillis) {
        CompletableFuture<LogPage> result = new CompletableFuture<>();
        completeOrRetry(result, fromOffset, maxRecords, System.currentTimeMillis() + waitMillis);
        return result;
    }

    /**
     * Completes a read if there are records or its deadline has passed, else polls again later.
     */
    private void completeOrRetry(CompletableFuture<LogPage> result, long fromOffset, int maxRecords, long untilMillis) {
        long nowMillis = System.currentTimeMillis();
        LogPage page = page(fromOffset, maxRecords, nowMillis - faults.get().readLagMillis());
        if (!page.records().isEmpty() || nowMillis >= untilMillis) {
            result.complete(page);
        } else {
            timer.schedule(
                    () -> completeOrRetry(result, fromOffset, maxRecords, untilMillis),
                    POLL_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns the records appended by {@code asOfMillis}. While reads lag, the page's head is that of the visible
     * records.
     */
    private synchronized LogPage page(long fromOffset, int maxRecords, long asOfMillis) {
        long oldest = headOffset - records.size();
        if (fromOffset >= headOffset) {
            return new LogPage(List.of(), headOffset, oldest);
        }
        List<StoredRecord> found = new ArrayList<>();
        long visibleHead = oldest;
        for (TimedRecord timed : records) {
            if (timed.atMillis() > asOfMillis || found.size() >= maxRecords) {
                break;
            }
            visibleHead = timed.record().offset() + 1;
            if (timed.record().offset() >= fromOffset) {
                found.add(timed.record());
            }
        }
        boolean lagging = faults.get().readLagMillis() > 0;
        return new LogPage(found, lagging ? visibleHead : headOffset, oldest);
    }

    /**
     * Returns how many calls of append took effect.
     */
    synchronized long appends() {
        return appends;
    }

    private record TimedRecord(StoredRecord record, long atMillis) {}
}
