package org.ragwortpitch.scaling;

/**
 * Number of engines that a pool needs, by role.
 *
 * @param readers  the prefill engines
 * @param decoders the decode engines
 */
public record EngineCount(int readers, int decoders) {

    /**
     * Returns the number of engines of both roles.
     */
    public int total() {
        return readers + decoders;
    }
}
