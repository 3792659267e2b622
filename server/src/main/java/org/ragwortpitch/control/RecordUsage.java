package org.ragwortpitch.control;

import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.usage.UsageEntry;

/**
 * An answer has finished.
 *
 * @param entry   its usage
 * @param durable done when the usage is in the log
 */
public record RecordUsage(UsageEntry entry, CompletableFuture<Long> durable) implements ControlMessage {}
