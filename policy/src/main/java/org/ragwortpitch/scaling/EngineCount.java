package org.ragwortpitch.scaling;

/**
 * How many engines of each role a pool needs.
 *
 * @param readers  those that read prompts
 * @param decoders those that make tokens
 */
public record EngineCount(int readers, int decoders) {

    /**
     * Counts both.
     */
    public int total() {
        return readers + decoders;
    }
}
