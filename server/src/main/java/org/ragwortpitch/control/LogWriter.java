package org.ragwortpitch.control;

import java.lang.System.Logger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.journal.LogEntry;
import org.ragwortpitch.journal.UsageRecorded;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.journal.codec.RecordCodec;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Writes entries to the log, one batch at a time, so that what comes in meanwhile goes out together. A batch without an
 * answer is repeated as it was until it is acknowledged or read back: readers drop the repetition by its sequences.
 * Confined to the control thread.
 */
final class LogWriter {

    /**
     * Where events go.
     */
    private static final Logger LOGGER = System.getLogger(LogWriter.class.getName());

    /**
     * The most entries of one batch.
     */
    private static final int MAX_BATCH_ENTRIES = 500;

    /**
     * How long to wait before a batch is repeated at first, in milliseconds.
     */
    private static final long FIRST_BACKOFF_MILLIS = 100;

    /**
     * How long to wait before a batch is repeated at most, in milliseconds.
     */
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /**
     * Sends batches.
     */
    private final LogClient log;

    /**
     * The entries that wait for the next batch.
     */
    private final Deque<PendingEntry> waiting = new ArrayDeque<>();

    /**
     * The entries that were sent and not read back, by sequence.
     */
    private final Map<Long, PendingEntry> unconfirmed = new HashMap<>();

    /**
     * The usage that waits for the next batch.
     */
    private final List<UsageEntry> usage = new ArrayList<>();

    /**
     * Those who wait for that usage to be durable.
     */
    private final List<CompletableFuture<Long>> usageWaiters = new ArrayList<>();

    /**
     * The batch under way; empty if there is none.
     */
    private List<PendingEntry> batch = List.of();

    /**
     * The texts of the batch under way.
     */
    private List<String> batchTexts = List.of();

    /**
     * The number of the batch under way.
     */
    private long batchNumber;

    /**
     * When to repeat the batch under way; the end of time while an answer is awaited.
     */
    private long retryAtMillis = Long.MAX_VALUE;

    /**
     * How long to wait before the next repetition, in milliseconds.
     */
    private long backoffMillis = FIRST_BACKOFF_MILLIS;

    /**
     * The sequence given last.
     */
    private long lastSequence;

    /**
     * How many batches failed in a row.
     */
    private int consecutiveFailures;

    /**
     * Makes a writer.
     *
     * @param log sends batches
     */
    LogWriter(LogClient log) {
        this.log = log;
    }

    /**
     * Adds an entry.
     *
     * @param entry the entry
     * @return the entry on its way
     */
    PendingEntry add(LogEntry entry) {
        PendingEntry pending =
                new PendingEntry(++lastSequence, entry, new CompletableFuture<>(), new CompletableFuture<>());
        waiting.addLast(pending);
        return pending;
    }

    /**
     * Adds usage, which goes out with all other usage that waits.
     *
     * @param entry   the usage
     * @param durable done when it is in the log
     */
    void addUsage(UsageEntry entry, CompletableFuture<Long> durable) {
        usage.add(entry);
        usageWaiters.add(durable);
    }

    /**
     * Tells whether an entry is on its way.
     *
     * @param matches tells the entry
     * @return whether one is
     */
    boolean hasPending(Predicate<LogEntry> matches) {
        return waiting.stream().anyMatch(pending -> matches.test(pending.entry()))
                || unconfirmed.values().stream().anyMatch(pending -> matches.test(pending.entry()));
    }

    /**
     * Sends what waits, unless a batch is under way; repeats that batch when its time has come.
     *
     * @param writer    this daemon's incarnation
     * @param nowMillis the present time
     */
    void flush(Incarnation writer, long nowMillis) {
        if (!batch.isEmpty()) {
            if (nowMillis >= retryAtMillis) {
                retryAtMillis = Long.MAX_VALUE;
                log.append(batchNumber, batchTexts);
            }
            return;
        }
        coalesceUsage();
        if (waiting.isEmpty()) {
            return;
        }
        batch = new ArrayList<>();
        while (!waiting.isEmpty() && batch.size() < MAX_BATCH_ENTRIES) {
            PendingEntry pending = waiting.removeFirst();
            batch.add(pending);
            unconfirmed.put(pending.sequence(), pending);
        }
        batchTexts = batch.stream()
                .map(pending -> RecordCodec.encode(writer, pending.sequence(), pending.entry()))
                .toList();
        batchNumber++;
        log.append(batchNumber, batchTexts);
    }

    /**
     * Makes one entry of all usage that waits.
     */
    private void coalesceUsage() {
        if (usage.isEmpty()) {
            return;
        }
        List<CompletableFuture<Long>> waiters = List.copyOf(usageWaiters);
        PendingEntry pending = add(new UsageRecorded(usage));
        pending.acknowledged().thenAccept(offset -> waiters.forEach(waiter -> waiter.complete(offset)));
        usage.clear();
        usageWaiters.clear();
    }

    /**
     * Takes the log's acknowledgement of a batch.
     *
     * @param number the batch's number
     * @param offset the offset of its first record
     */
    void handleAcknowledgement(long number, long offset) {
        if (number != batchNumber || batch.isEmpty()) {
            return;
        }
        long next = offset;
        for (PendingEntry pending : batch) {
            pending.acknowledged().complete(next++);
        }
        clearBatch();
    }

    /**
     * Takes the failure of a batch, which will be repeated.
     *
     * @param failed    the failure
     * @param nowMillis the present time
     */
    void handleFailure(AppendFailed failed, long nowMillis) {
        if (failed.batch() == batchNumber && !batch.isEmpty()) {
            if (consecutiveFailures == 0) {
                Event.of("append-unanswered").with("reason", failed.reason()).warn(LOGGER);
            }
            consecutiveFailures++;
            retryAtMillis = nowMillis + backoffMillis;
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        }
    }

    /**
     * Takes one of this daemon's own records as read back. Only its first reading counts.
     *
     * @param sequence the record's sequence
     * @param offset   its offset
     * @param verdict  what the fold made of it
     */
    void handleReadBack(long sequence, long offset, Verdict verdict) {
        PendingEntry pending = unconfirmed.remove(sequence);
        if (pending == null) {
            return;
        }
        pending.acknowledged().complete(offset);
        pending.readBack().complete(new ReadBack(offset, verdict));
        if (!batch.isEmpty() && batch.stream().noneMatch(other -> unconfirmed.containsKey(other.sequence()))) {
            clearBatch();
        }
    }

    /**
     * Ends the batch under way.
     */
    private void clearBatch() {
        batch = List.of();
        batchTexts = List.of();
        retryAtMillis = Long.MAX_VALUE;
        backoffMillis = FIRST_BACKOFF_MILLIS;
        consecutiveFailures = 0;
    }

    /**
     * Tells whether the log fails to take batches.
     *
     * @return whether the last batch failed
     */
    boolean isFailing() {
        return consecutiveFailures > 0;
    }

    /**
     * Counts the entries that wait or are under way.
     *
     * @return the count
     */
    int size() {
        return waiting.size() + batch.size() + usage.size();
    }
}
