package org.ragwortpitch.edge.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A copy of a store's contents.
 *
 * @param generation the generation of the duties' group
 */
public record StoreCopy(Map<String, List<byte[]>> topics, long generation) {

    static StoreCopy of(Map<String, List<byte[]>> topics, long generation) {
        Map<String, List<byte[]>> copy = new HashMap<>();
        topics.forEach((name, records) -> copy.put(name, new ArrayList<>(records)));
        return new StoreCopy(copy, generation);
    }
}
