package org.ragwortpitch.scaling;

/**
 * Number of engines that a pool needs, by role.
 *
 * @param prefillEngines the prefill engines
 * @param decodeEngines  the decode engines
 */
public record EngineCount(int prefillEngines, int decodeEngines) {

    /**
     * Returns the number of engines of both roles.
     */
    public int total() {
        return prefillEngines + decodeEngines;
    }
}
