package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationRecord;

/**
 * A request to record the start of an operation that may run at most once.
 *
 * @param key    the key of the operation
 * @param result completed with the record of the operation: without an outcome, it was started by this request and the
 *               caller may send it; with one, an earlier request ended it. Completed exceptionally with {@link
 *               org.ragwortpitch.refusal.RefusedException} if it cannot be started, or was started by another request
 *               and has no outcome yet
 */
public record StartOperation(OperationKey key, CompletableFuture<OperationRecord> result) implements ControlMessage {}
