package org.ragwortpitch.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortpitch.usage.UsageEntry;

/**
 * A request of another member, which cannot write to the log, to write its usage when possible. Usage that both members
 * write is counted once.
 *
 * @param entries the usage entries
 * @param result  completed with whether this member accepted the entries
 */
public record BufferPeerUsage(List<UsageEntry> entries, CompletableFuture<Boolean> result) implements ControlMessage {

    /**
     * Copies the list.
     */
    public BufferPeerUsage {
        entries = List.copyOf(entries);
    }
}
