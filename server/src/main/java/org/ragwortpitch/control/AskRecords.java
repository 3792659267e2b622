package org.ragwortpitch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.platform.StoredRecord;

/**
 * Another member, whose reads of the log are slow, asks for records.
 *
 * @param fromOffset the first offset wanted
 * @param result     gets the records, as far as they are remembered
 */
public record AskRecords(long fromOffset, CompletableFuture<List<StoredRecord>> result) implements ControlMessage {}
