package org.ragwortpitch.controllog;

import java.util.List;
import org.ragwortpitch.usage.UsageEntry;

/**
 * The usage of completed responses. The record is valid whoever wrote it, member or not: entries are deduplicated by
 * account and request.
 *
 * @param entries one entry for each completed response
 */
public record UsageRecorded(List<UsageEntry> entries) implements LogEntry {

    /**
     * Copies the entries.
     */
    public UsageRecorded {
        entries = List.copyOf(entries);
    }
}
