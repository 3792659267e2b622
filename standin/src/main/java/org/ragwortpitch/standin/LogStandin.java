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
 * Stands in for the platform's log.
 */
final class LogStandin {

    /**
     * How often a waiting read looks again, in milliseconds.
     */
    private static final long LOOK_MILLIS = 2;

    /**
     * The records that are kept.
     */
    private final Deque<TimedRecord> records = new ArrayDeque<>();

    /**
     * The most records that are kept.
     */
    private final int keptRecords;

    /**
     * Wakes waiting reads.
     */
    private final ScheduledExecutorService timer;

    /**
     * The faults.
     */
    private final FaultSwitch faults;

    /**
     * The offset of the next record.
     */
    private long headOffset;

    /**
     * How many appends were taken.
     */
    private long appends;

    /**
     * Makes an empty log.
     *
     * @param keptRecords the most records that are kept
     * @param timer       wakes waiting reads
     * @param faults      the faults
     */
    LogStandin(int keptRecords, ScheduledExecutorService timer, FaultSwitch faults) {
        this.keptRecords = keptRecords;
        this.timer = timer;
        this.faults = faults;
    }

    /**
     * Appends records.
     *
     * @param texts     the records' texts
     * @param nowMillis the present time
     * @return the offset of the first
     */
    synchronized long append(List<String> texts, long nowMillis) {
        long first = headOffset;
        appends++;
        for (String text : texts) {
            records.addLast(new TimedRecord(new StoredRecord(headOffset++, text), nowMillis));
            if (records.size() > keptRecords) {
                records.removeFirst();
            }
        }
        return first;
    }

    /**
     * Reads records, waiting for some if there are none.
     *
     * @param fromOffset the first offset wanted
     * @param maxRecords the most records wanted
     * @param waitMillis how long to wait, in milliseconds
     * @return the page
     */
    CompletableFuture<LogPage> read(long fromOffset, int maxRecords, long waitMillis) {
        CompletableFuture<LogPage> answer = new CompletableFuture<>();
        look(answer, fromOffset, maxRecords, System.currentTimeMillis() + waitMillis);
        return answer;
    }

    /**
     * Answers a read if there are records or its time is over, or looks again later.
     *
     * @param answer      the answer
     * @param fromOffset  the first offset wanted
     * @param maxRecords  the most records wanted
     * @param untilMillis when to stop waiting
     */
    private void look(CompletableFuture<LogPage> answer, long fromOffset, int maxRecords, long untilMillis) {
        long nowMillis = System.currentTimeMillis();
        LogPage page = page(fromOffset, maxRecords, nowMillis - faults.get().readLagMillis());
        if (!page.records().isEmpty() || nowMillis >= untilMillis) {
            answer.complete(page);
        } else {
            timer.schedule(() -> look(answer, fromOffset, maxRecords, untilMillis), LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Reads what was there at a time.
     *
     * @param fromOffset the first offset wanted
     * @param maxRecords the most records wanted
     * @param asOfMillis the time
     * @return the page
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
     * Tells how many appends were taken.
     *
     * @return the count
     */
    synchronized long appends() {
        return appends;
    }

    /**
     * A record with the time of its append.
     *
     * @param record   the record
     * @param atMillis when it was appended
     */
    private record TimedRecord(StoredRecord record, long atMillis) {}
}
