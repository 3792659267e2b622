package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.journal.LogEntry;

/**
 * An entry on its way into the log.
 *
 * @param sequence     its sequence
 * @param entry        the entry
 * @param acknowledged gets the offset when the log has acknowledged it or it was read back
 * @param readBack     gets what the fold made of it
 */
record PendingEntry(
        long sequence, LogEntry entry, CompletableFuture<Long> acknowledged, CompletableFuture<ReadBack> readBack) {}
