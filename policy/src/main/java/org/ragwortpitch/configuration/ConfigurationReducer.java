package org.ragwortpitch.configuration;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.controllog.ApplyResult;
import org.ragwortpitch.controllog.ConfigurationChanged;
import org.ragwortpitch.controllog.LogRecord;

/**
 * Applies configuration changes from the log. Rule lines are not interpreted, so that daemons of different versions
 * agree on which changes were accepted. Confined to one thread.
 */
public final class ConfigurationReducer {

    /**
     * The rule lines by key.
     */
    private final Map<String, String> lines = new LinkedHashMap<>();

    /**
     * The offset of the last accepted change; -1 before the first.
     */
    private long version = -1;

    /**
     * Applies a change if it is based on the current version.
     *
     * @param record the record, already admitted
     * @return accepted, or stale if the change is based on another version
     */
    public ApplyResult applyChange(LogRecord record, ConfigurationChanged change) {
        if (change.basedOn() != version) {
            return ApplyResult.STALE;
        }
        change.removedKeys().forEach(lines::remove);
        change.addedLines().forEach(line -> lines.put(keyOf(line), line));
        version = record.offset();
        return ApplyResult.ACCEPTED;
    }

    /**
     * Returns the version: the offset of the last accepted change; -1 before the first.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the rule lines.
     */
    public List<String> lines() {
        return List.copyOf(lines.values());
    }

    /**
     * Replaces the state with that of a checkpoint.
     *
     * @param restoredVersion the version
     * @param restoredLines   the rule lines
     */
    public void restore(long restoredVersion, Collection<String> restoredLines) {
        lines.clear();
        restoredLines.forEach(line -> lines.put(keyOf(line), line));
        version = restoredVersion;
    }

    /**
     * Returns the first two words of a rule line, its kind and id.
     */
    private static String keyOf(String line) {
        List<Word> words = Word.split(line);
        return words.size() < 2
                ? line
                : words.get(0).text() + " " + words.get(1).text();
    }
}
