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
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogEntry;
import org.ragwortpitch.controllog.UsageRecorded;
import org.ragwortpitch.controllog.codec.RecordCodec;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Writes entries to the log, one batch at a time; entries that arrive while a batch is in flight are sent together in
 * the next one. A batch without an acknowledgement is resent unchanged until it is acknowledged or read back: readers
 * drop duplicates by their sequence numbers. Confined to the control thread.
 */
final class LogWriter {

    private static final Logger LOGGER = System.getLogger(LogWriter.class.getName());

    private static final int MAX_BATCH_ENTRIES = 500;

    /**
     * Delay before the first retry of a batch, in milliseconds. It doubles with each retry.
     */
    private static final long FIRST_BACKOFF_MILLIS = 100;

    /**
     * Maximum delay before a retry of a batch, in milliseconds.
     */
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final LogClient log;

    private final Deque<PendingEntry> waiting = new ArrayDeque<>();

    /**
     * The entries that were sent and not yet read back, by sequence number.
     */
    private final Map<Long, PendingEntry> unconfirmed = new HashMap<>();

    private final List<UsageEntry> usage = new ArrayList<>();

    /**
     * Completed with the log offset of the entry that contains the collected usage.
     */
    private final List<CompletableFuture<Long>> usageWaiters = new ArrayList<>();

    /**
     * The batch in flight; empty if there is none.
     */
    private List<PendingEntry> batch = List.of();

    /**
     * The encoded records of the batch in flight, kept so that a retry sends the same bytes.
     */
    private List<String> batchTexts = List.of();

    private long batchNumber;

    /**
     * When to resend the batch in flight, of the monotonic clock; {@link Long#MAX_VALUE} while an answer is awaited.
     */
    private long retryAtMillis = Long.MAX_VALUE;

    private long backoffMillis = FIRST_BACKOFF_MILLIS;

    private long lastSequence;

    private int consecutiveFailures;

    LogWriter(LogClient log) {
        this.log = log;
    }

    /**
     * Adds an entry to the next batch.
     *
     * @param entry the entry
     * @return the pending entry, with its sequence number
     */
    PendingEntry add(LogEntry entry) {
        PendingEntry pending =
                new PendingEntry(++lastSequence, entry, new CompletableFuture<>(), new CompletableFuture<>());
        waiting.addLast(pending);
        return pending;
    }

    /**
     * Adds usage, which is written in one entry together with all other usage that waits.
     *
     * @param entry   the usage
     * @param durable completed with the log offset once the usage is in the log
     */
    void addUsage(UsageEntry entry, CompletableFuture<Long> durable) {
        usage.add(entry);
        usageWaiters.add(durable);
    }

    /**
     * Returns whether a matching entry waits or was sent and not yet read back.
     *
     * @param matches the condition
     * @return whether there is one
     */
    boolean hasPending(Predicate<LogEntry> matches) {
        return waiting.stream().anyMatch(pending -> matches.test(pending.entry()))
                || unconfirmed.values().stream().anyMatch(pending -> matches.test(pending.entry()));
    }

    /**
     * Sends the next batch, or resends the batch in flight if its retry is due.
     *
     * @param writer    the incarnation of this daemon
     * @param nowMillis the time of the monotonic clock
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

    private void coalesceUsage() {
        if (usage.isEmpty()) {
            return;
        }
        List<CompletableFuture<Long>> durableFutures = List.copyOf(usageWaiters);
        PendingEntry pending = add(new UsageRecorded(usage));
        pending.acknowledged().thenAccept(offset -> durableFutures.forEach(durable -> durable.complete(offset)));
        usage.clear();
        usageWaiters.clear();
    }

    /**
     * Handles the acknowledgement of a batch. That of any batch but the one in flight is ignored.
     *
     * @param number the number of the batch
     * @param offset the log offset of its first record
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
     * Handles the failure of a batch, which is resent after a backoff. Only the first failure in a row is logged.
     *
     * @param failed    the failure
     * @param nowMillis the time of the monotonic clock
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
     * Handles a record of this daemon that was read back from the log. Only the first copy counts. A batch whose
     * records were all read back needs no acknowledgement.
     *
     * @param sequence the sequence number of the record
     * @param offset   the log offset of the record
     * @param result   whether the record took effect
     */
    void handleReadBack(long sequence, long offset, ApplyResult result) {
        PendingEntry pending = unconfirmed.remove(sequence);
        if (pending == null) {
            return;
        }
        pending.acknowledged().complete(offset);
        pending.readBack().complete(new ReadBack(offset, result));
        if (!batch.isEmpty() && batch.stream().noneMatch(other -> unconfirmed.containsKey(other.sequence()))) {
            clearBatch();
        }
    }

    private void clearBatch() {
        batch = List.of();
        batchTexts = List.of();
        retryAtMillis = Long.MAX_VALUE;
        backoffMillis = FIRST_BACKOFF_MILLIS;
        consecutiveFailures = 0;
    }

    /**
     * Returns whether appends are failing.
     *
     * @return whether the batch in flight has failed at least once
     */
    boolean isFailing() {
        return consecutiveFailures > 0;
    }

    /**
     * Returns the size of the backlog.
     *
     * @return the number of entries that wait or are in flight, and of usage entries not yet part of one
     */
    int size() {
        return waiting.size() + batch.size() + usage.size();
    }
}
