package org.ragwortpitch.controllog;

import java.util.List;

/**
 * An operator's change of the configuration rules, as a difference.
 *
 * @param basedOn     the configuration version that the operator edited; the record has no effect if there is a newer
 *                    one
 * @param removedKeys the removed rules, each as kind and id
 * @param addedLines  the added or changed rules, as text lines
 * @param operator    who applied the change
 */
public record ConfigurationChanged(long basedOn, List<String> removedKeys, List<String> addedLines, String operator)
        implements LogEntry {

    /**
     * Copies the lists.
     */
    public ConfigurationChanged {
        removedKeys = List.copyOf(removedKeys);
        addedLines = List.copyOf(addedLines);
    }
}
