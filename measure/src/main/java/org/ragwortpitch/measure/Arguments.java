package org.ragwortpitch.measure;

import java.util.List;

/**
 * The command-line arguments of a measurement, all of them optional.
 *
 * @param words the arguments after the measurement's name
 */
record Arguments(List<String> words) {

    /**
     * Returns a numeric argument.
     *
     * @param index    zero-based position
     * @param fallback the value if the argument is absent
     * @throws NumberFormatException if the argument is not an integer
     */
    long number(int index, long fallback) {
        return index < words.size() ? Long.parseLong(words.get(index)) : fallback;
    }

    /**
     * Returns a textual argument.
     *
     * @param index    zero-based position
     * @param fallback the value if the argument is absent
     */
    String word(int index, String fallback) {
        return index < words.size() ? words.get(index) : fallback;
    }
}
