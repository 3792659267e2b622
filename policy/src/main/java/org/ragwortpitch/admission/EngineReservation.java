package org.ragwortpitch.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.ragwortpitch.identity.EndpointId;
import org.ragwortpitch.placement.EngineState;

/**
 * Keeps one engine for a large request that has waited for long, so that smaller ones behind it do not take all room
 * that becomes free. The other engines stay open to all. Holds for one examination of the requests that wait.
 */
public final class EngineReservation {

    private Optional<EndpointId> kept = Optional.empty();

    /**
     * Keeps the engine with the most free KV cache for a request that fits none, if it has waited for long and no
     * engine is kept yet.
     */
    public void recordBlocked(WaitingRequest<?> request, Collection<EngineState> engines, long nowMillis) {
        if (kept.isEmpty() && request.needsReservation(nowMillis)) {
            kept = engines.stream()
                    .max(Comparator.comparingLong(EngineRoom::freeTokens))
                    .map(engine -> engine.endpoint().id());
        }
    }

    /**
     * Returns whether an engine may be used by the requests behind.
     */
    public boolean allows(EngineState engine) {
        return !kept.equals(Optional.of(engine.endpoint().id()));
    }
}
