package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.operation.OperationKey;
import org.ragwortpitch.operation.OperationRecord;

/**
 * An operation that may run at most once is to be started.
 *
 * @param key    the operation
 * @param result gets the operation's record: the caller may send it if the record has no outcome and was started by
 *               this very message; fails with {@link org.ragwortpitch.answer.RefusedException} if it may not be
 *               started, or was started elsewhere and has no outcome yet
 */
public record StartOperation(OperationKey key, CompletableFuture<OperationRecord> result) implements ControlMessage {}
