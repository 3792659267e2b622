package org.ragwortpitch.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.answer.ErrorKind;
import org.ragwortpitch.answer.Ran;
import org.ragwortpitch.answer.RefusedException;
import org.ragwortpitch.journal.ControlFold;
import org.ragwortpitch.journal.OperationEnded;
import org.ragwortpitch.journal.OperationStarted;
import org.ragwortpitch.journal.Verdict;
import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationOutcome;
import org.ragwortpitch.operation.OperationRecord;

/**
 * Starts and ends operations that may run at most once. Confined to the control thread.
 */
final class OperationCoordinator {

    /**
     * When to try again after a refusal for want of the log, in milliseconds.
     */
    private static final long RETRY_AFTER_MILLIS = 2_000;

    /**
     * The log as applied.
     */
    private final ControlFold reducer;

    /**
     * Writes to the log.
     */
    private final LogWriter writer;

    /**
     * The operations whose start is on its way.
     */
    private final Set<OperationKey> starting = new HashSet<>();

    /**
     * Makes a desk.
     *
     * @param fold   the log as applied
     * @param writer writes to the log
     */
    OperationCoordinator(ControlFold fold, LogWriter writer) {
        this.reducer = fold;
        this.writer = writer;
    }

    /**
     * Starts an operation, or tells its outcome.
     *
     * @param request    the wish
     * @param maySend    whether this daemon is a member in touch with the log
     * @param wallMillis the present time, in milliseconds since the epoch
     */
    void start(StartOperation request, boolean maySend, long wallMillis) {
        OperationKey key = request.key();
        Optional<OperationRecord> known = reducer.operations().find(key);
        if (known.isPresent()) {
            completeFromRecord(known.get(), request.result());
        } else if (starting.contains(key)) {
            request.result().completeExceptionally(outcomeUnknown());
        } else if (!maySend || writer.isFailing()) {
            request.result().completeExceptionally(logUnavailable());
        } else {
            starting.add(key);
            PendingEntry pending = writer.add(new OperationStarted(key.account(), key.operation(), wallMillis));
            pending.readBack().thenAccept(readBack -> handleReadBack(request, readBack));
        }
    }

    /**
     * Takes the start of an operation as read back.
     *
     * @param request  the wish
     * @param readBack what became of the start
     */
    private void handleReadBack(StartOperation request, ReadBack readBack) {
        starting.remove(request.key());
        Optional<OperationRecord> known = reducer.operations().find(request.key());
        if (readBack.verdict() == Verdict.ACCEPTED && known.isPresent()) {
            boolean wanted = request.result().complete(known.get());
            if (!wanted) {
                end(request.key(), OperationOutcome.NOT_RUN);
            }
        } else if (readBack.verdict() == Verdict.STALE && known.isPresent()) {
            completeFromRecord(known.get(), request.result());
        } else {
            request.result().completeExceptionally(logUnavailable());
        }
    }

    /**
     * Ends an operation.
     *
     * @param key     the operation
     * @param outcome its outcome
     */
    void end(OperationKey key, OperationOutcome outcome) {
        writer.add(new OperationEnded(key.account(), key.operation(), outcome));
    }

    /**
     * Answers with what is known of an operation that was started before.
     *
     * @param record the operation
     * @param result gets the answer
     */
    private static void completeFromRecord(OperationRecord record, CompletableFuture<OperationRecord> result) {
        if (record.outcome() == null) {
            result.completeExceptionally(outcomeUnknown());
        } else {
            result.complete(record);
        }
    }

    /**
     * Makes the refusal of an operation that was started and has no outcome.
     *
     * @return the refusal
     */
    private static RefusedException outcomeUnknown() {
        return new RefusedException(
                ErrorKind.CONFLICT,
                Ran.UNKNOWN,
                RETRY_AFTER_MILLIS,
                "this operation was started and its outcome is not known; it is not sent again: ask with the same "
                        + "idempotency key later, or look the operation up");
    }

    /**
     * Makes the refusal of an operation whose start cannot be recorded.
     *
     * @return the refusal
     */
    private static RefusedException logUnavailable() {
        return RefusedException.notRunRetryAfter(
                ErrorKind.UNAVAILABLE,
                RETRY_AFTER_MILLIS,
                "the start of the operation cannot be recorded now: try again with the same idempotency key");
    }
}
