package org.ragwortpitch.journal;

import java.util.List;
import org.ragwortpitch.usage.UsageEntry;

/**
 * The usage of finished answers. It counts whoever wrote it: entries are told apart by account and request.
 *
 * @param entries one entry for each finished answer
 */
public record UsageRecorded(List<UsageEntry> entries) implements LogEntry {

    /**
     * Copies the list.
     */
    public UsageRecorded {
        entries = List.copyOf(entries);
    }
}
