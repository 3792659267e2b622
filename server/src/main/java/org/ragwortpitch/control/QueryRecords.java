package org.ragwortpitch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.platform.StoredRecord;

/**
 * A query of another member, whose own reads of the log are slow, for recently applied records.
 *
 * @param fromOffset the first log offset to return
 * @param result     completed with the records from that offset on; empty if they are no longer retained
 */
public record QueryRecords(long fromOffset, CompletableFuture<List<StoredRecord>> result) implements ControlMessage {}
