package org.ragwortpitch.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * The text that engine stand-ins generate. It depends on the prompt alone, so that a test can compute the whole
 * response.
 */
public final class StandinText {

    private static final int WORDS = 1_000;

    /**
     * Prompt characters per token.
     */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Tokens per prefix block.
     */
    private static final int TOKENS_PER_BLOCK = 1_000;

    private StandinText() {}

    /**
     * Returns an output token.
     *
     * @param index the token's index in the output, from 0
     */
    public static String token(String prompt, int index) {
        return "w" + Math.floorMod(prompt.hashCode() + 31 * index, WORDS) + " ";
    }

    /**
     * Returns the first tokens of the output.
     *
     * @param tokens the number of tokens
     */
    public static String answer(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(prompt, index));
        }
        return text.toString();
    }

    /**
     * Returns the number of tokens in a prompt, rounded up.
     */
    public static int promptTokens(String prompt) {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /**
     * Returns the hashes of a prompt's prefix blocks. Each hash covers the prompt up to the end of the block; an
     * incomplete last block has none.
     */
    static List<Long> prefixBlocks(String prompt) {
        List<Long> blocks = new ArrayList<>();
        int characters = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
        for (int end = characters; end <= prompt.length(); end += characters) {
            blocks.add((long) prompt.substring(0, end).hashCode());
        }
        return blocks;
    }

    /**
     * Returns the size of a prefix block, in tokens.
     */
    static int tokensPerBlock() {
        return TOKENS_PER_BLOCK;
    }
}
