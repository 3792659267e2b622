package org.ragwortpitch.journal;

import java.util.List;

/**
 * An operator's change of the rules, as a difference.
 *
 * @param basedOn     the version that the operator edited; void if there is a newer one
 * @param removedKeys the rules that go, each as kind and id
 * @param addedLines  the rules that come or change, as text lines
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
