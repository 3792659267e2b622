package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.controllog.LogEntry;

/**
 * An entry that waits to be written to the log or to be read back.
 *
 * @param sequence     the sequence number of the record
 * @param entry        the entry
 * @param acknowledged completed with the log offset when the append is acknowledged or the record is read back
 * @param readBack     completed when the record is read back, with whether it took effect
 */
record PendingEntry(
        long sequence, LogEntry entry, CompletableFuture<Long> acknowledged, CompletableFuture<ReadBack> readBack) {}
