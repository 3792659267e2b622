package org.ragwortpitch.configuration;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpitch.journal.ConfigurationChanged;
import org.ragwortpitch.journal.LogRecord;
import org.ragwortpitch.journal.Verdict;

/**
 * Folds changes of the rules. It does not interpret them, so that daemons of different versions agree on which changes
 * were accepted. Confined to one thread.
 */
public final class ConfigurationFold {

    /**
     * The rules' lines by their key.
     */
    private final Map<String, String> lines = new LinkedHashMap<>();

    /**
     * The offset of the last accepted change; -1 before the first.
     */
    private long version = -1;

    /**
     * Takes a change.
     *
     * @param record the record, already admitted
     * @param change its content
     * @return accepted if it is based on the current version
     */
    public Verdict changed(LogRecord record, ConfigurationChanged change) {
        if (change.basedOn() != version) {
            return Verdict.STALE;
        }
        change.removedKeys().forEach(lines::remove);
        change.addedLines().forEach(line -> lines.put(keyOf(line), line));
        version = record.offset();
        return Verdict.ACCEPTED;
    }

    /**
     * Tells the version.
     *
     * @return the offset of the last accepted change; -1 before the first
     */
    public long version() {
        return version;
    }

    /**
     * Tells the rules.
     *
     * @return their lines
     */
    public List<String> lines() {
        return List.copyOf(lines.values());
    }

    /**
     * Replaces the state by that of a checkpoint.
     *
     * @param restoredVersion the version
     * @param restoredLines   the rules' lines
     */
    public void restore(long restoredVersion, Collection<String> restoredLines) {
        lines.clear();
        restoredLines.forEach(line -> lines.put(keyOf(line), line));
        version = restoredVersion;
    }

    /**
     * Tells the key of a rule's line.
     *
     * @param line the line
     * @return its first two words
     */
    private static String keyOf(String line) {
        List<Word> words = Word.split(line);
        return words.size() < 2
                ? line
                : words.get(0).text() + " " + words.get(1).text();
    }
}
