package org.ragwortpitch.operation;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.LogRecord;
import org.ragwortpitch.controllog.OperationEnded;
import org.ragwortpitch.controllog.OperationStarted;

/**
 * Reduces the starts and ends of operations from the log: only the first start of an operation is accepted, so it runs
 * at most once. Confined to one thread.
 */
public final class OperationReducer {

    /**
     * How long an operation is retained after its start, in milliseconds.
     */
    public static final long RETENTION_MILLIS = 3_600_000;

    /**
     * The largest allowed difference between daemons' wall clocks, in milliseconds.
     */
    public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    /**
     * Operations in the order of their start records.
     */
    private final Map<OperationKey, OperationRecord> operations = new LinkedHashMap<>();

    /**
     * The latest start time applied, in milliseconds since the epoch.
     */
    private long latestStartMillis;

    /**
     * Applies the start of an operation. A start older than the retention is stale, because an earlier one may already
     * have been dropped.
     *
     * @param record the record, whose writer is a member
     * @param start  the record's content
     * @return accepted if it is the operation's first start and within the retention, otherwise stale
     */
    public ApplyResult applyStart(LogRecord record, OperationStarted start) {
        latestStartMillis = Math.max(latestStartMillis, start.startedAtMillis());
        evictExpired();
        if (start.startedAtMillis() < latestStartMillis - RETENTION_MILLIS) {
            return ApplyResult.STALE;
        }
        OperationKey key = new OperationKey(start.account(), start.operation());
        OperationRecord operation =
                new OperationRecord(key, record.writer(), record.offset(), start.startedAtMillis(), null);
        return operations.putIfAbsent(key, operation) == null ? ApplyResult.ACCEPTED : ApplyResult.STALE;
    }

    /**
     * Applies the end of an operation. An operation that did not run is removed, so that it can be started again.
     *
     * @param record the record, whose writer is a member
     * @param end    the record's content
     * @return accepted if it is the first end and its writer started the operation, otherwise stale
     */
    public ApplyResult applyEnd(LogRecord record, OperationEnded end) {
        OperationKey key = new OperationKey(end.account(), end.operation());
        OperationRecord started = operations.get(key);
        if (started == null || !started.starter().equals(record.writer()) || started.outcome() != null) {
            return ApplyResult.STALE;
        }
        if (end.outcome().kind() == OperationOutcomeKind.NOT_RUN) {
            operations.remove(key);
        } else {
            operations.put(key, started.withOutcome(end.outcome()));
        }
        return ApplyResult.ACCEPTED;
    }

    /**
     * Returns the record of an operation, or empty if it was not started or is no longer retained.
     */
    public Optional<OperationRecord> find(OperationKey key) {
        return Optional.ofNullable(operations.get(key));
    }

    /**
     * Returns all retained operations.
     *
     * @return an immutable copy, in the order of the start records
     */
    public List<OperationRecord> operations() {
        return List.copyOf(operations.values());
    }

    /**
     * Replaces the state with that of a checkpoint.
     *
     * @param restored the checkpoint's operations, in the order of their start records
     */
    public void restore(Collection<OperationRecord> restored) {
        operations.clear();
        latestStartMillis = 0;
        for (OperationRecord operation : restored) {
            operations.put(operation.key(), operation);
            latestStartMillis = Math.max(latestStartMillis, operation.startedAtMillis());
        }
    }

    /**
     * Drops the operations that exceed the retention. An operation whose start time is out of order delays the removal
     * of those behind it by no more than the clock skew.
     */
    private void evictExpired() {
        long cutoffMillis = latestStartMillis - RETENTION_MILLIS - MAX_CLOCK_SKEW_MILLIS;
        Iterator<OperationRecord> oldest = operations.values().iterator();
        while (oldest.hasNext() && oldest.next().startedAtMillis() < cutoffMillis) {
            oldest.remove();
        }
    }
}
