package org.ragwortpitch.measure;

import java.util.List;

/**
 * The arguments of a measurement.
 *
 * @param words the words
 */
record Arguments(List<String> words) {

    /**
     * Tells a number.
     *
     * @param index    its place, from 0
     * @param fallback the number if there is none
     * @return the number
     */
    long number(int index, long fallback) {
        return index < words.size() ? Long.parseLong(words.get(index)) : fallback;
    }

    /**
     * Tells a word.
     *
     * @param index    its place, from 0
     * @param fallback the word if there is none
     * @return the word
     */
    String word(int index, String fallback) {
        return index < words.size() ? words.get(index) : fallback;
    }
}
