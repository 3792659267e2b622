package org.ragwortpitch.operation;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.OperationEnded;
import org.ragwortpitch.journal.OperationStarted;
import org.ragwortpitch.journal.Verdict;

/**
 * Folds the starts and ends of operations: the first start of an operation is the only one. Confined to one thread.
 */
public final class OperationFold {

    /**
     * How long an operation is remembered after it started, in milliseconds.
     */
    public static final long KEPT_MILLIS = 3_600_000;

    /**
     * By how much daemons' wall clocks may differ, in milliseconds.
     */
    public static final long CLOCK_SKEW_MILLIS = 60_000;

    /**
     * The operations in the order of their starts.
     */
    private final Map<OperationKey, OperationRecord> operations = new LinkedHashMap<>();

    /**
     * The latest start read, in milliseconds since the epoch.
     */
    private long latestMillis;

    /**
     * Takes a start.
     *
     * @param record the record, already admitted
     * @param start  its content
     * @return accepted if it is the operation's first and recent enough for that to be known
     */
    public Verdict started(LogRecord record, OperationStarted start) {
        latestMillis = Math.max(latestMillis, start.startedAtMillis());
        forgetOld();
        if (start.startedAtMillis() < latestMillis - KEPT_MILLIS) {
            return Verdict.STALE;
        }
        OperationKey key = new OperationKey(start.account(), start.operation());
        OperationRecord first =
                new OperationRecord(key, record.writer(), record.offset(), start.startedAtMillis(), null);
        return operations.putIfAbsent(key, first) == null ? Verdict.ACCEPTED : Verdict.STALE;
    }

    /**
     * Takes an end.
     *
     * @param record the record, already admitted
     * @param end    its content
     * @return accepted if it comes from the starter and is the first
     */
    public Verdict ended(LogRecord record, OperationEnded end) {
        OperationKey key = new OperationKey(end.account(), end.operation());
        OperationRecord started = operations.get(key);
        if (started == null || !started.starter().equals(record.writer()) || started.outcome() != null) {
            return Verdict.STALE;
        }
        if (end.outcome().kind() == OperationOutcomeKind.NOT_RUN) {
            operations.remove(key);
        } else {
            operations.put(key, started.withOutcome(end.outcome()));
        }
        return Verdict.ACCEPTED;
    }

    /**
     * Finds an operation.
     *
     * @param key the operation
     * @return its record, if it was started and is remembered
     */
    public Optional<OperationRecord> find(OperationKey key) {
        return Optional.ofNullable(operations.get(key));
    }

    /**
     * Tells all remembered operations.
     *
     * @return the operations in the order of their starts
     */
    public List<OperationRecord> operations() {
        return List.copyOf(operations.values());
    }

    /**
     * Replaces the state by that of a checkpoint.
     *
     * @param restored the operations in the order of their starts
     */
    public void restore(Collection<OperationRecord> restored) {
        operations.clear();
        latestMillis = 0;
        for (OperationRecord operation : restored) {
            operations.put(operation.key(), operation);
            latestMillis = Math.max(latestMillis, operation.startedAtMillis());
        }
    }

    /**
     * Forgets the operations that started too long ago. An operation that started out of order holds up those behind
     * it for no longer than the clock skew.
     */
    private void forgetOld() {
        long horizonMillis = latestMillis - KEPT_MILLIS - CLOCK_SKEW_MILLIS;
        Iterator<OperationRecord> oldest = operations.values().iterator();
        while (oldest.hasNext() && oldest.next().startedAtMillis() < horizonMillis) {
            oldest.remove();
        }
    }
}
