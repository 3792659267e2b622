package org.ragwortpitch.admission;

import org.ragwortpitch.deployment.EngineSpec;
import org.ragwortpitch.placement.EngineState;

/**
 * Whether an engine has room for a request, by the commitments of all daemons. Nothing that is placed only where it
 * fits has to be preempted.
 */
public final class EngineRoom {

    private EngineRoom() {}

    /**
     * Returns whether a request fits an engine now.
     *
     * @param tokens the KV cache tokens that the request needs; one that needs the whole KV cache or more fits an
     *               engine without commitments
     */
    public static boolean fits(EngineState engine, long tokens) {
        return requiredTokens(engine.spec(), tokens) <= freeTokens(engine);
    }

    /**
     * Returns the KV cache tokens that a further request may use; negative if there are too many commitments or no free
     * slot.
     */
    public static long freeTokens(EngineState engine) {
        if (engine.totalRunning() >= engine.spec().slots()) {
            return -1;
        }
        return engine.spec().kvCapacityTokens() - Math.max(0, engine.totalKvCacheTokens());
    }

    /**
     * Returns the KV cache tokens to be reserved for a request, which are at most those that the engine has.
     */
    public static long requiredTokens(EngineSpec spec, long tokens) {
        return Math.min(tokens, spec.kvCapacityTokens());
    }

    /**
     * Returns whether an idle engine could hold a prompt.
     */
    public static boolean canHold(EngineSpec spec, int promptTokens) {
        return promptTokens <= spec.kvCapacityTokens();
    }
}
