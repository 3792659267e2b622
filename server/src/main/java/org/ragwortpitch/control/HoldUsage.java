package org.ragwortpitch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.usage.UsageEntry;

/**
 * Another member, which cannot write to the log, asks this one to write usage when it can. Usage that both write counts
 * once.
 *
 * @param entries the usage
 * @param result  gets whether it is held
 */
public record HoldUsage(List<UsageEntry> entries, CompletableFuture<Boolean> result) implements ControlMessage {

    /**
     * Copies the list.
     */
    public HoldUsage {
        entries = List.copyOf(entries);
    }
}
