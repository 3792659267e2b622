package org.ragwortpitch.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.ControlStateReducer;
import org.ragwortpitch.controllog.OperationEnded;
import org.ragwortpitch.controllog.OperationStarted;
import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationOutcome;
import org.ragwortpitch.operation.OperationRecord;
import org.ragwortpitch.refusal.ErrorKind;
import org.ragwortpitch.refusal.ExecutionState;
import org.ragwortpitch.refusal.RefusedException;

/**
 * Records the start and the end of operations that may run at most once. Confined to the control thread.
 */
final class OperationCoordinator {

    /**
     * When a client may retry a refused start, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final ControlStateReducer reducer;

    private final LogWriter writer;

    /**
     * The operations whose start is written and not yet read back.
     */
    private final Set<OperationKey> starting = new HashSet<>();

    OperationCoordinator(ControlStateReducer reducer, LogWriter writer) {
        this.reducer = reducer;
        this.writer = writer;
    }

    /**
     * Records the start of an operation, or answers with the outcome of an earlier one with the same key.
     *
     * @param request    the request
     * @param mayStart   whether this daemon is a member in contact with the log
     * @param wallMillis the time in milliseconds since the epoch
     */
    void start(StartOperation request, boolean mayStart, long wallMillis) {
        OperationKey key = request.key();
        Optional<OperationRecord> known = reducer.operations().find(key);
        if (known.isPresent()) {
            completeFromRecord(known.get(), request.result());
        } else if (starting.contains(key)) {
            request.result().completeExceptionally(outcomeUnknown());
        } else if (!mayStart || writer.isFailing()) {
            request.result().completeExceptionally(logUnavailable());
        } else {
            starting.add(key);
            PendingEntry pending = writer.add(new OperationStarted(key.account(), key.operation(), wallMillis));
            pending.readBack().thenAccept(readBack -> handleReadBack(request, readBack));
        }
    }

    /**
     * Answers the request when the start is read back. If nobody waits for the answer any more, the operation is
     * recorded as not run. A stale result means that another start with the same key came first.
     */
    private void handleReadBack(StartOperation request, ReadBack readBack) {
        starting.remove(request.key());
        Optional<OperationRecord> known = reducer.operations().find(request.key());
        if (readBack.result() == ApplyResult.ACCEPTED && known.isPresent()) {
            boolean awaited = request.result().complete(known.get());
            if (!awaited) {
                end(request.key(), OperationOutcome.NOT_RUN);
            }
        } else if (readBack.result() == ApplyResult.STALE && known.isPresent()) {
            completeFromRecord(known.get(), request.result());
        } else {
            request.result().completeExceptionally(logUnavailable());
        }
    }

    void end(OperationKey key, OperationOutcome outcome) {
        writer.add(new OperationEnded(key.account(), key.operation(), outcome));
    }

    private static void completeFromRecord(OperationRecord record, CompletableFuture<OperationRecord> result) {
        if (record.outcome() == null) {
            result.completeExceptionally(outcomeUnknown());
        } else {
            result.complete(record);
        }
    }

    private static RefusedException outcomeUnknown() {
        return new RefusedException(
                ErrorKind.CONFLICT,
                ExecutionState.UNKNOWN,
                RETRY_AFTER_MILLIS,
                "the operation was started and its outcome is unknown, so it is not sent again: retry with the same "
                        + "idempotency key later, or look up the operation");
    }

    private static RefusedException logUnavailable() {
        return RefusedException.notRunRetryAfter(
                ErrorKind.UNAVAILABLE,
                RETRY_AFTER_MILLIS,
                "the start of the operation cannot be recorded at present: retry with the same idempotency key");
    }
}
