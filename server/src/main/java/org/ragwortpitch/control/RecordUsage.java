package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.usage.UsageEntry;

/**
 * A response has finished, and its usage is to be written to the log.
 *
 * @param entry   the usage
 * @param durable completed with the log offset once the usage is in the log
 */
public record RecordUsage(UsageEntry entry, CompletableFuture<Long> durable) implements ControlMessage {}
