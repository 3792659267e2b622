package org.ragwortpitch.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The difference between two sets of rules.
 *
 * @param removedKeys the keys of removed rules, each a kind and an id
 * @param addedLines  the text lines of added or changed rules
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
     * Returns the change that turns one set of rules into another. The order of lines is not compared.
     */
    public static RulesDifference between(List<Rule> before, List<Rule> after) {
        Map<String, String> texts = new HashMap<>();
        before.forEach(rule -> texts.put(rule.key(), rule.text()));
        Set<String> remaining = new HashSet<>();
        List<String> added = new ArrayList<>();
        for (Rule rule : after) {
            remaining.add(rule.key());
            if (!rule.text().equals(texts.get(rule.key()))) {
                added.add(rule.text());
            }
        }
        List<String> removed = before.stream()
                .map(Rule::key)
                .filter(key -> !remaining.contains(key))
                .toList();
        return new RulesDifference(removed, added);
    }

    /**
     * Returns whether there is no change.
     */
    public boolean isEmpty() {
        return removedKeys.isEmpty() && addedLines.isEmpty();
    }
}
