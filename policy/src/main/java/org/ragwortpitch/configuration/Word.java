package org.ragwortpitch.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A whitespace-separated word of a line.
 *
 * @param text   the word
 * @param column the column of its first character, from 1
 */
record Word(String text, int column) {

    /**
     * Splits a line at white space.
     */
    static List<Word> split(String line) {
        List<Word> words = new ArrayList<>();
        int start = -1;
        for (int index = 0; index <= line.length(); index++) {
            boolean space = index == line.length() || Character.isWhitespace(line.charAt(index));
            if (!space && start < 0) {
                start = index;
            } else if (space && start >= 0) {
                words.add(new Word(line.substring(start, index), start + 1));
                start = -1;
            }
        }
        return words;
    }
}
