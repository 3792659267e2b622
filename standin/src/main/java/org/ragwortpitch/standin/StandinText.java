package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * The text that engine stand-ins generate, which follows from the prompt alone, so that a test knows the whole answer.
 */
public final class StandinText {

    /**
     * How many different words there are.
     */
    private static final int WORDS = 1_000;

    /**
     * How many characters of a prompt make a token.
     */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * How many tokens make a piece of the prefix cache.
     */
    private static final int TOKENS_PER_PIECE = 1_000;

    /**
     * Not to be made.
     */
    private StandinText() {}

    /**
     * Tells a token of an answer.
     *
     * @param prompt the prompt
     * @param index  the token's place, from 0
     * @return its text
     */
    public static String token(String prompt, int index) {
        return "w" + Math.floorMod(prompt.hashCode() + 31 * index, WORDS) + " ";
    }

    /**
     * Tells the beginning of an answer.
     *
     * @param prompt the prompt
     * @param tokens how many tokens
     * @return the text
     */
    public static String answer(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(prompt, index));
        }
        return text.toString();
    }

    /**
     * Counts the tokens of a prompt.
     *
     * @param prompt the prompt
     * @return the count
     */
    public static int promptTokens(String prompt) {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /**
     * Hashes a prompt up to the end of each whole piece.
     *
     * @param prompt the prompt
     * @return the hashes
     */
    static List<Long> pieces(String prompt) {
        List<Long> pieces = new ArrayList<>();
        int characters = TOKENS_PER_PIECE * CHARACTERS_PER_TOKEN;
        for (int end = characters; end <= prompt.length(); end += characters) {
            pieces.add((long) prompt.substring(0, end).hashCode());
        }
        return pieces;
    }

    /**
     * Tells the size of a piece.
     *
     * @return the size, in tokens
     */
    static int tokensPerPiece() {
        return TOKENS_PER_PIECE;
    }
}
