package org.ragwortpitch.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How one set of rules differs from another.
 *
 * @param removedKeys the rules that go, each as kind and id
 * @param addedLines  the rules that come or change, as text lines
 */
public record RulesDifference(List<String> removedKeys, List<String> addedLines) {

    /**
     * Copies the lists.
     */
    public RulesDifference {
        removedKeys = List.copyOf(removedKeys);
        addedLines = List.copyOf(addedLines);
    }

    /**
     * Compares two sets of rules.
     *
     * @param before the rules as they were
     * @param after  the rules as they are to be
     * @return the difference
     */
    public static RulesDifference between(List<Rule> before, List<Rule> after) {
        Map<String, String> texts = new HashMap<>();
        before.forEach(rule -> texts.put(rule.key(), rule.text()));
        Set<String> kept = new HashSet<>();
        List<String> added = new ArrayList<>();
        for (Rule rule : after) {
            kept.add(rule.key());
            if (!rule.text().equals(texts.get(rule.key()))) {
                added.add(rule.text());
            }
        }
        List<String> removed = before.stream()
                .map(Rule::key)
                .filter(key -> !kept.contains(key))
                .toList();
        return new RulesDifference(removed, added);
    }

    /**
     * Tells whether nothing differs.
     *
     * @return whether it is so
     */
    public boolean isEmpty() {
        return removedKeys.isEmpty() && addedLines.isEmpty();
    }
}
